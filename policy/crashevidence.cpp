#include "policy/crashevidence.h"

#include "policy/partshistory.h"
#include "policy/requestfingerprint.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <set>

namespace vanillaspar
{

namespace
{

constexpr size_t maxParts = 256;
constexpr size_t maxCrashesPerPart = 64;
constexpr size_t maxEnds = 1024;
constexpr Millis endRetention(60000);
constexpr Millis retention(600000);
constexpr Millis clearedRetention(2000); // for crashes that other hosts tell of later
// Replicas that end at the same moment may have a cause in common, such as their rack.
constexpr Millis independentAfter(100);
// In this time an answer begins after a crash, progresses, and other hosts are told of it.
constexpr Millis clearanceTime(700);
constexpr size_t minAddresses = 2;
constexpr size_t minSuspectEnds = 5;
constexpr int64_t minSuspectWeight = 2;
constexpr size_t maxRequestsPerEnd = 16;
constexpr int64_t minWeight = 3;
constexpr int64_t neverProgressedWeight = 4;
constexpr int64_t requestNeverProgressedWeight = 5; // more than the replicas that one request may be sent to
constexpr size_t maxEndsPerPart = 64;
constexpr double minCoverage = 0.5;
constexpr double maxCoincidence = 1e-5; // that a sound part's requests all ended with their replicas

int64_t weightOf(const std::vector<PartCrash> &crashes, Millis countedUntil, Millis countedFrom = Millis(INT64_MIN / 2))
{
    std::set<uint32_t> addresses;
    std::set<uint32_t> requests;
    int64_t weight = 0;
    Millis lastCounted(INT64_MIN / 2);
    for (const PartCrash &crash : crashes) {
        if (crash.at < countedFrom) {
            continue;
        }
        if (crash.at > countedUntil) {
            break;
        }
        addresses.insert(crash.address);
        if (crash.at - lastCounted >= independentAfter && requests.insert(crash.request).second) {
            lastCounted = crash.at;
            ++weight;
        }
    }
    return addresses.size() >= minAddresses ? weight : std::min<int64_t>(weight, 1);
}

/**
 * @return how well a part explains ends: better the more there are and the fewer of its requests it took. The ends
 * weigh more, as requests with a crashing part pile up at the last replicas too.
 */
double likelihoodOf(const std::vector<PartCrash> &crashes)
{
    size_t requests = 0;
    for (const PartCrash &crash : crashes) {
        requests += std::max<size_t>(crash.requests.size(), 1);
    }
    return std::pow(static_cast<double>(crashes.size()), 3) / static_cast<double>(std::max<size_t>(requests, 1));
}

/** Drops a crash that came right after another one, as that adds the least. */
void dropLeastIndependent(std::vector<PartCrash> &crashes)
{
    size_t closest = 1;
    for (size_t i = 2; i < crashes.size(); ++i) {
        if (crashes[i].at - crashes[i - 1].at < crashes[closest].at - crashes[closest - 1].at) {
            closest = i;
        }
    }
    crashes.erase(crashes.begin() + static_cast<std::ptrdiff_t>(closest));
}

}

bool CrashEvidence::onCrash(const PromptPartId &part, const PartCrash &crash, Millis now)
{
    if (m_explainedEnds.count(crash.end) > 0) {
        return false;
    }
    if (m_ends.size() < maxEnds) {
        Millis &end = m_ends.try_emplace(crash.end, crash.at).first->second;
        end = std::min(end, crash.at);
    }
    PartEvidence &evidence = m_parts[part];
    std::vector<PartCrash> &crashes = evidence.crashes;
    const auto known = std::find_if(crashes.begin(), crashes.end(), [&](const PartCrash &each) {
        return each.end == crash.end;
    });
    if (crash.at <= evidence.clearedAt) {
        return false;
    }
    const bool isNew = known == crashes.end();
    const auto addRequest = [&crash](PartCrash &to) {
        if (to.requests.size() < maxRequestsPerEnd) {
            to.requests.insert(crash.request);
        }
    };
    if (evidence.ends.size() < maxEndsPerPart) {
        evidence.ends.insert(crash.end);
    }
    if (isNew) {
        crashes.push_back(crash);
        addRequest(crashes.back());
        evidence.changedAt = now;
    } else {
        known->at = std::min(known->at, crash.at);
        addRequest(*known);
    }
    std::sort(crashes.begin(), crashes.end(), [](const PartCrash &a, const PartCrash &b) {
        return a.at < b.at;
    });
    if (crashes.size() > maxCrashesPerPart) {
        dropLeastIndependent(crashes);
    }
    while (m_parts.size() > maxParts) {
        m_parts.erase(std::min_element(m_parts.begin(), m_parts.end(), [](const auto &a, const auto &b) {
            const auto rank = [](const PartEvidence &each) {
                return std::make_pair(each.crashes.size(), each.changedAt);
            };
            return rank(a.second) < rank(b.second);
        }));
    }
    return isNew;
}

bool CrashEvidence::onProgressed(const PromptPartId &part, Millis begunAt, Millis now)
{
    const auto entry = m_parts.find(part);
    if (entry == m_parts.end()) {
        return false;
    }
    PartEvidence &evidence = entry->second;
    if (begunAt > evidence.clearedAt) {
        evidence.clearedAt = begunAt;
        const size_t cleared = std::erase_if(evidence.crashes, [begunAt](const PartCrash &crash) {
            return crash.at <= begunAt;
        });
        evidence.changedAt = cleared > 0 ? now : evidence.changedAt;
        evidence.ends.clear();
        for (const PartCrash &crash : evidence.crashes) {
            evidence.ends.insert(crash.end);
        }
    }
    return now - evidence.changedAt <= clearedRetention;
}

void CrashEvidence::explain(const PromptPartId &part, Millis now)
{
    const auto entry = m_parts.find(part);
    if (entry == m_parts.end()) {
        return;
    }
    for (const PartCrash &crash : entry->second.crashes) {
        m_explainedEnds[crash.end] = now;
    }
    m_parts.erase(entry);
    dropExplained();
}

void CrashEvidence::explainEnd(uint32_t end, Millis now)
{
    m_explainedEnds[end] = now;
    dropExplained();
}

void CrashEvidence::dropExplained()
{
    for (auto &[part, evidence] : m_parts) {
        std::erase_if(evidence.crashes, [this](const PartCrash &crash) {
            return m_explainedEnds.count(crash.end) > 0;
        });
        std::erase_if(evidence.ends, [this](uint32_t end) {
            return m_explainedEnds.count(end) > 0;
        });
    }
}

void CrashEvidence::forget(const PromptPartId &part)
{
    m_parts.erase(part);
}

int64_t CrashEvidence::weight(const PromptPartId &part, Millis countedUntil) const
{
    const auto entry = m_parts.find(part);
    return entry == m_parts.end() ? 0 : weightOf(entry->second.crashes, countedUntil);
}

Millis CrashEvidence::settledUntil(Millis now)
{
    return now - clearanceTime;
}

Millis CrashEvidence::countedUntil(Millis controlledUntil, Millis now)
{
    return std::min(controlledUntil, settledUntil(now));
}

Millis CrashEvidence::lastCrashAt(const PromptPartId &part) const
{
    const auto entry = m_parts.find(part);
    const bool hasCrashes = entry != m_parts.end() && !entry->second.crashes.empty();
    return hasCrashes ? entry->second.crashes.back().at : Millis(INT64_MIN / 2);
}

std::vector<PartCrash> CrashEvidence::suspiciousCrashes(const PartEvidence &evidence, Millis countedUntil,
                                                        const std::set<uint32_t> &explained)
{
    if (evidence.crashes.size() < minSuspectEnds) {
        return {};
    }
    std::vector<PartCrash> crashes;
    std::copy_if(evidence.crashes.begin(), evidence.crashes.end(), std::back_inserter(crashes),
                 [&](const PartCrash &crash) {
                     return crash.at <= countedUntil && explained.count(crash.end) == 0;
                 });
    const bool isEnough = crashes.size() >= minSuspectEnds && weightOf(crashes, countedUntil) >= minSuspectWeight;
    return isEnough ? crashes : std::vector<PartCrash>();
}

CrashSuspect CrashEvidence::makeSuspect(const PromptPartId &part, Millis countedUntil) const
{
    CrashSuspect suspect;
    suspect.part = part;
    const PartEvidence &evidence = m_parts.at(part);
    for (const PartCrash &crash : evidence.crashes) {
        const bool isCovered = std::any_of(m_parts.begin(), m_parts.end(), [&](const auto &other) {
            return other.second.ends.size() > evidence.ends.size() && other.second.ends.count(crash.end) > 0;
        });
        if (crash.at <= countedUntil && !isCovered) {
            suspect.proofs.push_back(crash);
        }
    }
    suspect.weight = weightOf(suspect.proofs, countedUntil);
    return suspect;
}

std::vector<CrashSuspect> CrashEvidence::rankSuspects(Millis countedUntil, const std::set<PromptPartId> &known) const
{
    std::vector<CrashSuspect> suspects;
    std::set<uint32_t> explained;
    const auto add = [&](const PromptPartId &part) {
        const std::set<uint32_t> &ends = m_parts.at(part).ends;
        explained.insert(ends.begin(), ends.end());
        suspects.push_back(makeSuspect(part, countedUntil));
    };
    for (const PromptPartId &part : known) {
        const auto entry = m_parts.find(part);
        if (entry != m_parts.end() && !suspiciousCrashes(entry->second, countedUntil, {}).empty()) {
            add(part);
        }
    }
    while (true) {
        std::optional<PromptPartId> best;
        double highest = 0;
        for (const auto &[part, evidence] : m_parts) {
            const double likelihood = likelihoodOf(suspiciousCrashes(evidence, countedUntil, explained));
            if (likelihood > highest) {
                highest = likelihood;
                best = part;
            }
        }
        if (!best) {
            return suspects;
        }
        add(*best);
    }
}

std::optional<PromptPartId> CrashEvidence::findCrashing(Millis countedUntil, double crashProbability,
                                                        Millis countedFrom) const
{
    std::optional<PromptPartId> found;
    int64_t most = minWeight - 1;
    for (const auto &[part, evidence] : m_parts) {
        const int64_t weight = weightOf(evidence.crashes, countedUntil, countedFrom);
        if (weight > most && std::pow(crashProbability, static_cast<double>(weight)) <= maxCoincidence) {
            most = weight;
            found = part;
        }
    }
    return found;
}

double CrashEvidence::coverage(const PartEvidence &evidence, Millis countedUntil) const
{
    const Millis from = evidence.crashes.front().at;
    const auto isCounted = [&](Millis at) {
        return at >= from && at <= countedUntil;
    };
    const auto own = std::count_if(evidence.ends.begin(), evidence.ends.end(), [&](uint32_t end) {
        const auto entry = m_ends.find(end);
        return entry != m_ends.end() && isCounted(entry->second);
    });
    const auto all = std::count_if(m_ends.begin(), m_ends.end(), [&](const auto &end) {
        return isCounted(end.second);
    });
    return static_cast<double>(own) / static_cast<double>(std::max<std::ptrdiff_t>(all, 1));
}

std::optional<PromptPartId> CrashEvidence::findNeverProgressed(const PartsHistory &history, Millis now) const
{
    std::optional<PromptPartId> found;
    int64_t most = 0;
    const Millis countedUntil = now - clearanceTime;
    for (const auto &[part, evidence] : m_parts) {
        const bool isRequest = isRequestFingerprint(part);
        const int64_t least = isRequest ? requestNeverProgressedWeight : neverProgressedWeight;
        const int64_t weight = weightOf(evidence.crashes, countedUntil);
        const bool canTell = isRequest || history.isMeaningful();
        if (canTell && weight >= least && weight > most && !history.hasProgressed(part)
            && coverage(evidence, countedUntil) >= minCoverage) {
            most = weight;
            found = part;
        }
    }
    return found;
}

void CrashEvidence::prune(Millis now)
{
    std::erase_if(m_ends, [now](const auto &entry) {
        return now - entry.second > endRetention;
    });
    std::erase_if(m_parts, [now](const auto &entry) {
        return now - entry.second.changedAt > (entry.second.crashes.empty() ? clearedRetention : retention);
    });
    std::erase_if(m_explainedEnds, [now](const auto &entry) {
        return now - entry.second > retention;
    });
}

}
