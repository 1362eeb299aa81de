#include "serving/replicaorders.h"

#include "core/eventlog.h"
#include "serving/adapterversions.h"
#include "serving/weights.h"

#include <algorithm>

namespace vanillaspar::serving
{

namespace
{

// From the users' sheet: an adapter from the weight store takes 250 ms, one that the replica held lately a tenth.
constexpr Millis slowLoadTime(250);
constexpr Millis fastLoadTime(25);
constexpr int64_t mostInTransit = 4; // adapters that a replica takes in at a time, by the platform's protocol
// Reports are some hundred milliseconds old; after this pause they show every order that was accepted before.
constexpr Millis reportLag(400);
constexpr Millis conflictPause(120);
constexpr Millis unsentPause(150);
// A want that its askers don't repeat is over; they repeat it every 100 ms.
constexpr Millis wantLifetime(500);
constexpr Millis useLifetime(700); // reports come five times a second; some are lost
// An adapter stays for a moment after a load, so that those who waited for it get their turn.
constexpr Millis shortestStay(150);
constexpr Millis newsInterval(1000);
constexpr size_t mostRemembered = 64; // adapters, somewhat below what a replica's memory keeps on the known engines
// A base model is looked for in reports from its load time on; they lag, but not all by the same.
constexpr Millis modelReportLag(150);

}

ReplicaOrders::ReplicaOrders(ReplicaId replica, OrderPort &port, EventLog &log, uint64_t firstSequence,
                             std::function<void()> onIdle)
    : m_replica(std::move(replica)), m_port(port), m_log(log), m_sequence(firstSequence), m_onIdle(std::move(onIdle))
{
}

void ReplicaOrders::reset()
{
    m_life = std::make_shared<bool>(true);
    m_count.reset();
    m_places.clear();
    m_models.clear();
    m_remembered.clear();
    m_isBusy = false;
    m_isLoadingModel = false;
    m_nextAt = Millis(0);
}

void ReplicaOrders::onAsk(const AdapterAsk &ask, Millis now)
{
    Want &want = m_wants[ask.weights];
    if (now - want.askedAt > wantLifetime) {
        want = {};
        want.since = now;
    }
    want.version = std::max(want.version, ask.version);
    want.waiting = std::max<int64_t>(want.waiting, ask.waiting);
    want.askedAt = now;
    want.wasMissing = want.wasMissing || ask.wasMissing;
}

void ReplicaOrders::onUse(const HostId &host, const AdapterUseReport &report, Millis now)
{
    HostUse &use = m_uses[host];
    use.at = now;
    use.running.clear();
    for (const AdapterUse &each : report.uses) {
        use.running[each.weights] = each.running;
        const auto place = m_places.find(each.weights);
        if (place != m_places.end()) {
            place->second.usedAt = now;
        }
    }
}

int64_t ReplicaOrders::runningOf(const std::string &weights, Millis now) const
{
    int64_t running = 0;
    for (const auto &[host, use] : m_uses) {
        const auto entry = use.running.find(weights);
        if (entry != use.running.end() && now - use.at < useLifetime) {
            running += entry->second;
        }
    }
    return running;
}

int64_t ReplicaOrders::inTransit(Millis now) const
{
    return std::count_if(m_places.begin(), m_places.end(), [now](const auto &entry) {
        return entry.second.readyAt > now;
    });
}

int64_t ReplicaOrders::slowLoads(Millis now) const
{
    return std::count_if(m_places.begin(), m_places.end(), [now](const auto &entry) {
        return entry.second.isSlow && entry.second.readyAt > now;
    });
}

bool ReplicaOrders::isDue(Millis now) const
{
    return !m_isBusy && now >= m_nextAt;
}

bool ReplicaOrders::step(const OrderTerms &terms, Millis now)
{
    if (!isDue(now)) {
        return false;
    }
    if (!m_count) {
        askReport(terms, now);
        return false;
    }
    if (m_models.empty()) {
        return orderModel(terms, now);
    }
    if (inTransit(now) >= mostInTransit) {
        return false;
    }
    if (const std::string *outdated = chooseOutdated(terms, now)) {
        orderLoad(terms, *outdated, now);
        return false;
    }
    const std::string *wanted = chooseWant(now);
    if (wanted == nullptr) {
        return false;
    }
    if (static_cast<int64_t>(m_places.size()) < terms.engine.adapterSlots || m_places.count(*wanted) > 0) {
        orderLoad(terms, *wanted, now);
    } else if (const std::string *victim = chooseVictim(now)) {
        orderUnload(terms, *victim, now);
    }
    return false;
}

bool ReplicaOrders::orderModel(const OrderTerms &terms, Millis now)
{
    if (m_isLoadingModel) {
        askReport(terms, now);
        return false;
    }
    if (!terms.mayLoadModel || terms.engine.models.empty()) {
        return false;
    }
    const ModelSpec &model = terms.engine.models.front();
    const Millis loadTime = model.loadTime;
    sendOrder(terms, true, model.name, [this, now, loadTime](OrderResult result) {
        if (noteResult(result, now) && result == OrderResult::Accepted) {
            m_isLoadingModel = true;
            m_count.reset();
            m_nextAt = now + loadTime + modelReportLag;
        }
    });
    m_log.record(EventCode::ModelOrdered, m_replica.text(), "load " + model.name);
    return true;
}

const std::string *ReplicaOrders::chooseOutdated(const OrderTerms &terms, Millis now) const
{
    for (const auto &[weights, place] : m_places) {
        if (place.version < terms.versions.newest(weights) && place.readyAt <= now && !place.isLeaving) {
            return &weights;
        }
    }
    return nullptr;
}

const std::string *ReplicaOrders::chooseWant(Millis now)
{
    const std::string *chosen = nullptr;
    const Want *best = nullptr;
    for (auto entry = m_wants.begin(); entry != m_wants.end();) {
        Want &want = entry->second;
        const auto place = m_places.find(entry->first);
        const bool isHeld = place != m_places.end() && place->second.version >= want.version;
        const bool isDoubted = isHeld && want.wasMissing && place->second.readyAt + shortestStay < now;
        if (now - want.askedAt > wantLifetime || (isHeld && !isDoubted)) {
            entry = m_wants.erase(entry);
            continue;
        }
        const bool hasModel = std::find(m_models.begin(), m_models.end(), modelOf(entry->first)) != m_models.end();
        const bool isBetter = best == nullptr || want.waiting > best->waiting
            || (want.waiting == best->waiting && want.since < best->since);
        if (hasModel && !adapterOf(entry->first).empty() && isBetter) {
            chosen = &entry->first;
            best = &want;
        }
        ++entry;
    }
    return chosen;
}

const std::string *ReplicaOrders::chooseVictim(Millis now) const
{
    const std::string *victim = nullptr;
    Millis leastUsed;
    for (const auto &[weights, place] : m_places) {
        const bool isIdle = !place.isLeaving && place.readyAt + shortestStay <= now && runningOf(weights, now) == 0
            && m_wants.count(weights) == 0;
        if (isIdle && (victim == nullptr || place.usedAt < leastUsed)) {
            victim = &weights;
            leastUsed = place.usedAt;
        }
    }
    return victim;
}

void ReplicaOrders::sendOrder(const OrderTerms &terms, bool isLoad, const std::string &weights,
                              std::function<void(OrderResult)> handler)
{
    m_port.order(terms.backend, {isLoad, weights, terms.host, terms.fence, m_count},
                 whileBusy<OrderResult>(std::move(handler)));
}

template<class Answer>
std::function<void(Answer)> ReplicaOrders::whileBusy(std::function<void(Answer)> handler)
{
    m_isBusy = true;
    const std::weak_ptr<bool> life = m_life;
    return [this, life, handler = std::move(handler)](Answer answer) {
        if (!life.expired()) {
            m_isBusy = false;
            handler(answer);
        }
    };
}

void ReplicaOrders::orderLoad(const OrderTerms &terms, const std::string &weights, Millis now)
{
    const int64_t version = terms.versions.newest(weights);
    const int64_t crowd = std::max(terms.fleetLoads, terms.fullSpeedLoads);
    const Millis slowTime(slowLoadTime.value * crowd / std::max<int64_t>(terms.fullSpeedLoads, 1));
    sendOrder(terms, true, weights, [this, weights, version, slowTime, now](OrderResult result) {
        onLoadResult(result, weights, version, slowTime, now);
        m_onIdle();
    });
}

void ReplicaOrders::onLoadResult(OrderResult result, const std::string &weights, int64_t version, Millis slowTime,
                                 Millis now)
{
    if (!noteResult(result, now)) {
        return;
    }
    const bool isReplacement = m_places.count(weights) > 0;
    Place place {version, now, now, false, false};
    if (result == OrderResult::Accepted) {
        place.isSlow = isReplacement || !isRemembered(weights);
        place.readyAt = now + (place.isSlow ? slowTime : fastLoadTime);
    }
    m_places[weights] = place;
    m_wants.erase(weights);
    remember(weights);
    m_hasNews = true;
    m_log.record(EventCode::AdapterLoaded, m_replica.text(),
                 weights + "@" + std::to_string(version) + " ready in " + std::to_string((place.readyAt - now).value)
                     + " ms");
}

void ReplicaOrders::orderUnload(const OrderTerms &terms, const std::string &weights, Millis now)
{
    m_places[weights].isLeaving = true; // nobody is sent to it while the order is under way
    m_hasNews = true;
    sendOrder(terms, false, weights, [this, weights, now](OrderResult result) {
        onUnloadResult(result, weights, now);
        m_onIdle();
    });
}

void ReplicaOrders::onUnloadResult(OrderResult result, const std::string &weights, Millis now)
{
    m_hasNews = true;
    if (!noteResult(result, now)) {
        return;
    }
    if (result == OrderResult::AlreadyHolds) {
        m_places.erase(weights);
        m_log.record(EventCode::AdapterUnloaded, m_replica.text(), weights);
        return;
    }
    // It waits for runs that nobody had reported; the next report tells when it is gone.
    m_count.reset();
    m_nextAt = now + reportLag;
}

bool ReplicaOrders::noteResult(OrderResult result, Millis now)
{
    switch (result) {
    case OrderResult::Accepted:
    case OrderResult::AlreadyHolds:
        if (m_count) {
            ++*m_count;
        }
        return true;
    case OrderResult::NotSent:
        m_nextAt = now + unsentPause;
        break;
    case OrderResult::Conflict:
        m_count.reset();
        m_nextAt = now + conflictPause;
        break;
    case OrderResult::Rejected:
    case OrderResult::WrongServer:
    case OrderResult::Unknown:
        m_count.reset();
        m_nextAt = now + reportLag;
        break;
    }
    m_log.record(EventCode::OrderFailed, m_replica.text(), "result " + std::to_string(static_cast<int>(result)));
    return false;
}

void ReplicaOrders::askReport(const OrderTerms &terms, Millis now)
{
    m_port.report(
        terms.backend,
        whileBusy<std::optional<EngineResidency>>([this, now](const std::optional<EngineResidency> &residency) {
            onReport(residency, now);
        }));
}

void ReplicaOrders::onReport(const std::optional<EngineResidency> &residency, Millis now)
{
    m_nextAt = now + reportLag;
    if (!residency || residency->isBusy) {
        return;
    }
    m_isLoadingModel = false;
    m_count = residency->orderCount;
    m_models.clear();
    for (const EngineModel &model : residency->models) {
        m_models.push_back(model.name);
    }
    std::map<std::string, Place> places;
    const auto take = [&](const EngineAdapter &adapter, Millis readyAt) {
        const auto known = m_places.find(adapter.weights);
        places[adapter.weights]
            = {adapter.version, readyAt, known == m_places.end() ? now : known->second.usedAt, false, false};
        remember(adapter.weights);
    };
    for (const EngineAdapter &adapter : residency->adapters) {
        take(adapter, now);
    }
    for (const EngineAdapter &adapter : residency->pending) {
        take(adapter, now + slowLoadTime);
    }
    m_places = std::move(places);
    m_hasNews = true;
    m_nextAt = now;
}

std::optional<ResidencyNews> ReplicaOrders::takeNews(const Backend &backend, const HostId &owner, Millis now)
{
    const bool isKnown = m_count || !m_places.empty();
    if (!isKnown || (!m_hasNews && now - m_newsAt < newsInterval)) {
        return std::nullopt;
    }
    m_hasNews = false;
    m_newsAt = now;
    ResidencyNews news {m_replica, owner, backend.residency.incarnation, ++m_sequence, {}};
    for (const std::string &model : m_models) {
        news.adapters.push_back({model, 0, 0});
    }
    for (const auto &[weights, place] : m_places) {
        if (!place.isLeaving) {
            const int64_t left = std::max<int64_t>((place.readyAt - now).value, 0);
            news.adapters.push_back({weights, place.version, static_cast<int32_t>(left)});
        }
    }
    return news;
}

void ReplicaOrders::remember(const std::string &weights)
{
    m_remembered.erase(std::remove(m_remembered.begin(), m_remembered.end(), weights), m_remembered.end());
    m_remembered.push_back(weights);
    if (m_remembered.size() > mostRemembered) {
        m_remembered.pop_front();
    }
}

bool ReplicaOrders::isRemembered(const std::string &weights) const
{
    return std::find(m_remembered.begin(), m_remembered.end(), weights) != m_remembered.end();
}

}
