#pragma once

#include "cluster/messages/limits.h"
#include "core/ids.h"
#include "core/units.h"
#include "serving/loading/coldpermits.h"
#include "serving/membership/evacuations.h"
#include "serving/membership/recordmirror.h"
#include "serving/placement/coldstarts.h"
#include "serving/replicas/coldreplicas.h"

#include <concepts>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace vanillaspar
{
class Clock;
class EventLog;
class PeerLink;
class Random;
}

namespace vanillaspar::serving
{

class Admission;
class BackendTable;
class Dispatcher;
class EngineChooser;
class FleetMembers;
class LoadCoordinator;
class ResidencyMap;
class StateStore;
struct Backend;
struct PollIntervals;
struct ServingSettings;

/** A message between hosts that ReplicaLimits handles. */
template<class Message>
concept LimitMessage = std::same_as<Message, ColdReport> || std::same_as<Message, ColdPermitRequest> || std::same_as<
    Message, ColdPermit> || std::same_as<Message, EvacuationReport>;

/** The components that ReplicaLimits works with. */
struct LimitContext
{
    const ServingSettings &settings;
    const Clock &clock;
    StateStore &store;
    PeerLink &peers;
    EventLog &log;
    Random &random;
    const Admission &admission;
    const FleetMembers &members;
    BackendTable &backends;
    const ResidencyMap &residency;
    const EngineChooser &chooser;
    RecordMirror &backendRecords;
    LoadCoordinator &loads;
    Dispatcher &dispatcher;
};

/**
 * Keeps what new requests a replica may get: few while it is cold, and none while its failure domain is evacuated.
 *
 * Hubs tell each other and their leaf hosts which replicas are cold, how recently that is known to be complete, and
 * which domains are evacuated. It does nothing unless the deployment sets these limits.
 */
class ReplicaLimits
{
public:
    explicit ReplicaLimits(const LimitContext &context);
    ~ReplicaLimits();

    /** The entry of a replica was read; to be called before it is put into the table of backends. */
    void onBackend(const Backend &backend);
    void onMessage(const HostId &from, const ColdReport &report);
    void onMessage(const HostId &from, const ColdPermitRequest &request);
    void onMessage(const HostId &from, const ColdPermit &permit);
    void onMessage(const HostId &from, const EvacuationReport &report);
    /** Runs all periodic work that is due. */
    void tick();

    /** @return whether this host knows which domains are evacuated, or needn't. */
    bool isReady() const;
    /** @return how often this host polls the replicas' entries. @param intervals those without limits on cold ones. */
    MirrorIntervals backendIntervals(const PollIntervals &intervals) const;
    /** Adds the present values of the gauges. */
    void addGauges(std::vector<std::pair<std::string, double>> &gauges) const;

private:
    bool limitsCold() const;
    /** @return whether this host may be the only one that knows no more than it does. */
    bool isStoreOutage(Millis now) const;
    void updateFreshness();
    void sendColdReports();
    void sendPermitRequests();
    void tickEvacuations();
    void sendEvacuations();
    void onEvacuated(const std::set<DomainId> &domains);
    /** Requests the adapters that this host's requests use in a domain at replicas elsewhere. */
    void moveAdapters(const DomainId &domain);
    /** Sends a permit or a request for one. @return whether the host's address is known. */
    template<class Message>
    bool sendTo(const HostId &host, const Message &message);
    bool isShareHolder(const ReplicaId &replica, int64_t count) const;

    LimitContext m_context;
    Millis m_startedAt;
    ColdReplicas m_cold;
    ColdStarts m_starts;
    ColdPermits m_permits;
    Evacuations m_evacuations;
    Millis m_coldFreshAsOf {-1}; ///< When this host is last known to have known all cold replicas.
    Millis m_coldReportedAt {0};
    Millis m_refreshedAt {0};
    Millis m_evacuationsSentAt {0};
    bool m_hasColdNews = false; ///< Whether a replica became cold since the last reports.
    bool m_wasFresh = true;
};

}
