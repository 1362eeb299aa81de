#include "serving/membership/evacuations.h"

#include "cluster/messages/limits.h"
#include "core/clock.h"
#include "core/eventlog.h"

namespace vanillaspar::serving
{

namespace
{

// An answer with changes ends a watch, so the next one is sent after this pause.
constexpr MirrorIntervals intervals {Millis(10000), Millis(50)};

}

Evacuations::Evacuations(StateStore &store, const Clock &clock, Random &random, EventLog &log, Listener listener)
    : m_clock(clock)
    , m_log(log)
    , m_listener(std::move(listener))
    , m_learnedAt(clock.now())
    , m_mirror(store, Collection::Evacuations, intervals, clock, random, log, [](const std::vector<StoredRecord> &) {})
{
}

void Evacuations::tick(bool isReader)
{
    if (!isReader) {
        return;
    }
    m_mirror.tick();
    if (!m_mirror.isLoaded()) {
        return;
    }
    if (isNewer(m_mirror.position())) {
        std::set<DomainId> domains;
        for (const auto &[name, record] : m_mirror.records()) {
            domains.insert(DomainId(name));
        }
        adopt(m_mirror.position(), std::move(domains));
    }
}

bool Evacuations::onReport(const EvacuationReport &report)
{
    m_learnedAt = m_clock.now();
    const StorePosition position {report.era, report.revision};
    return isNewer(position) && adopt(position, {report.domains.begin(), report.domains.end()});
}

std::optional<EvacuationReport> Evacuations::report() const
{
    if (!m_position) {
        return std::nullopt;
    }
    return EvacuationReport {m_position->era, m_position->revision, {m_domains.begin(), m_domains.end()}};
}

bool Evacuations::isNewer(StorePosition position) const
{
    return !m_position || position > *m_position;
}

bool Evacuations::adopt(StorePosition position, std::set<DomainId> domains)
{
    const bool isFirst = !m_position;
    m_position = position;
    m_learnedAt = m_clock.now();
    if (!isFirst && domains == m_domains) {
        return false;
    }
    for (const DomainId &domain : domains) {
        if (m_domains.count(domain) == 0) {
            m_log.record(EventCode::EvacuationBegun, domain.text(), "position " + position.text());
        }
    }
    for (const DomainId &domain : m_domains) {
        if (domains.count(domain) == 0) {
            m_log.record(EventCode::EvacuationEnded, domain.text(), "position " + position.text());
        }
    }
    m_domains = std::move(domains);
    m_listener(m_domains);
    return true;
}

}
