#pragma once

#include "serving/membership/recordcopies.h"
#include "serving/membership/relayedstore.h"

#include <string>
#include <utility>
#include <vector>

namespace vanillaspar::serving
{

struct PollIntervals;

/** Reading the store's records from other hosts, and letting them read this host's copies; see RelayedStore. */
class RecordRelay
{
public:
    /** @param settings decide by their features whether anything is relayed. */
    RecordRelay(const ServingSettings &settings, const Clock &clock, StateStore &store, PeerLink &peers, EventLog &log,
                const FleetMembers &members);

    /** @return the store that the mirrors read: the store itself if the feature is off. */
    StateStore &store();
    /** Answers other hosts from these mirrors, which have to outlive this object. */
    void setMirrors(const std::vector<std::pair<Collection, const RecordMirror *>> &mirrors);
    void onRequest(const HostId &from, const RecordRequest &request);
    void onAnswer(const HostId &from, const RecordAnswer &answer);
    /** To be called every few milliseconds. */
    void tick();
    /**
     * @param answeredAt when the configuration's mirror was last answered, by whomever.
     * @return when the store last answered this host itself.
     */
    Millis contactAt(Millis answeredAt) const
    {
        return m_isEnabled ? m_relayedStore.contactAt() : answeredAt;
    }
    /** @return the intervals of this host's mirrors for its present role and for whom it reads now. */
    const PollIntervals &intervals() const;
    /** Appends the gauges of the relay if the feature is on. */
    void addGauges(std::vector<std::pair<std::string, double>> &gauges) const;

private:
    const ServingSettings &m_settings;
    const Clock &m_clock;
    const bool m_isEnabled; ///< As the mirrors are given a store only once, it doesn't change.
    StateStore &m_store;
    const FleetMembers &m_members;
    RecordCopies m_copies;
    RelayedStore m_relayedStore;
};

}
