#include "core/eventlog.h"
#include "serving/servingnode.h"

#include <variant>

namespace vanillaspar::serving
{

/** Dispatches messages from other hosts. */
struct FleetMessageHandler
{
    ServingNode &node;
    const HostId &from;

    void operator()(const HostHeartbeat &heartbeat) const
    {
        node.onHeartbeat(from, heartbeat);
    }
    void operator()(const ResidencyReportBatch &batch) const
    {
        node.m_loads.onResidencyReport(from, batch);
    }
    void operator()(const PromptReport &report) const
    {
        node.m_prompts.onReport(report);
    }
    void operator()(const VersionProof &proof) const
    {
        node.m_versionRecords.onProof(proof, node.m_members);
    }
    void operator()(const StoreProof &proof) const
    {
        node.onStoreProof(proof);
    }
    void operator()(const LatencyReport &report) const
    {
        node.m_latencyExchange.receive(from, report);
    }
    void operator()(const DemandReport &report) const
    {
        node.m_demands.receive(from, report);
    }
    void operator()(const RecordRequest &request) const
    {
        node.m_relay.onRequest(from, request);
    }
    void operator()(const RecordAnswer &answer) const
    {
        node.m_relay.onAnswer(from, answer);
    }
    void operator()(const AdapterRequest &request) const
    {
        node.m_loads.onAdapterRequest(request);
    }
    void operator()(const AdapterUseBatch &batch) const
    {
        node.m_loads.onUseReports(from, batch);
    }
    template<LimitMessage Limit>
    void operator()(const Limit &message) const
    {
        node.m_limits.onMessage(from, message);
    }
    template<class Other>
    void operator()(const Other & /*message*/) const
    {
        node.m_ports.log.record(EventCode::MessageRejected, from.text(), "unexpected message type for an entry host");
    }
};

void ServingNode::onPeerMessage(const HostId &from, const Message &message)
{
    std::visit(FleetMessageHandler {*this, from}, message);
}

}
