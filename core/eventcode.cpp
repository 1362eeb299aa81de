#include "core/eventcode.h"

#include <algorithm>

namespace vanillaspar
{

const std::vector<EventEntry> &eventCatalogue()
{
    static const std::vector<EventEntry> catalogue {
        {EventCode::NodeStarted, Severity::Info, "node-started"},
        {EventCode::NodeJoined, Severity::Info, "node-joined"},
        {EventCode::NodeDraining, Severity::Info, "node-draining"},
        {EventCode::NodeDrained, Severity::Info, "node-drained"},
        {EventCode::ChildRestarted, Severity::Error, "child-restarted"},
        {EventCode::SettingsReloaded, Severity::Info, "settings-reloaded"},
        {EventCode::SettingsRejected, Severity::Error, "settings-rejected"},
        {EventCode::ProcessFailed, Severity::Error, "process-failed"},
        {EventCode::ConfigInForce, Severity::Info, "config-in-force"},
        {EventCode::ConfigRejected, Severity::Error, "config-rejected"},
        {EventCode::ConfigUnconfirmed, Severity::Warning, "config-unconfirmed"},
        {EventCode::ConfigOutdated, Severity::Warning, "config-outdated"},
        {EventCode::StoreRestored, Severity::Warning, "store-restored"},
        {EventCode::RecordMissing, Severity::Warning, "record-missing"},
        {EventCode::LeaseAcquired, Severity::Info, "lease-acquired"},
        {EventCode::LeaseLost, Severity::Error, "lease-lost"},
        {EventCode::PauseDetected, Severity::Error, "pause-detected"},
        {EventCode::PeerFenced, Severity::Warning, "peer-fenced"},
        {EventCode::PeerRemoved, Severity::Warning, "peer-removed"},
        {EventCode::PlatformUnreachable, Severity::Warning, "platform-unreachable"},
        {EventCode::PlatformReachable, Severity::Info, "platform-reachable"},
        {EventCode::StoreRecordRejected, Severity::Error, "store-record-rejected"},
        {EventCode::HostListChanged, Severity::Info, "host-list-changed"},
        {EventCode::OwnersAssigned, Severity::Info, "owners-assigned"},
        {EventCode::ReplicaTakenOver, Severity::Info, "replica-taken-over"},
        {EventCode::ReplicaReleased, Severity::Info, "replica-released"},
        {EventCode::ReplicaRestarted, Severity::Warning, "replica-restarted"},
        {EventCode::ReplicaUnreachable, Severity::Warning, "replica-unreachable"},
        {EventCode::ReplicaLeaving, Severity::Info, "replica-leaving"},
        {EventCode::ReplicaPaused, Severity::Info, "replica-paused"},
        {EventCode::PromptPartSuspected, Severity::Warning, "prompt-part-suspected"},
        {EventCode::PromptPartBlocked, Severity::Warning, "prompt-part-blocked"},
        {EventCode::PromptPartLifted, Severity::Info, "prompt-part-lifted"},
        {EventCode::PromptPartRestricted, Severity::Warning, "prompt-part-restricted"},
        {EventCode::AdapterLoaded, Severity::Info, "adapter-loaded"},
        {EventCode::AdapterUnloaded, Severity::Info, "adapter-unloaded"},
        {EventCode::LoadFailed, Severity::Warning, "load-failed"},
        {EventCode::ModelOrdered, Severity::Info, "model-ordered"},
        {EventCode::OrderFailed, Severity::Warning, "order-failed"},
        {EventCode::VersionAnnounced, Severity::Info, "version-announced"},
        {EventCode::ReplicaCold, Severity::Info, "replica-cold"},
        {EventCode::ColdStateUnknown, Severity::Warning, "cold-state-unknown"},
        {EventCode::EvacuationBegun, Severity::Warning, "evacuation-begun"},
        {EventCode::EvacuationEnded, Severity::Info, "evacuation-ended"},
        {EventCode::OwnershipSuspended, Severity::Warning, "ownership-suspended"},
        {EventCode::ReplicaSlow, Severity::Warning, "replica-slow"},
        {EventCode::ReplicaRecovered, Severity::Info, "replica-recovered"},
        {EventCode::RelaySource, Severity::Info, "relay-source"},
        {EventCode::RelayUnanswered, Severity::Warning, "relay-unanswered"},
        {EventCode::AnswerDropped, Severity::Warning, "answer-dropped"},
        {EventCode::RequestRefused, Severity::Info, "request-refused"},
        {EventCode::RequestRetried, Severity::Info, "request-retried"},
        {EventCode::ClaimUncertain, Severity::Warning, "claim-uncertain"},
        {EventCode::RequestServed, Severity::Info, "request-served"},
        {EventCode::RequestFailed, Severity::Warning, "request-failed"},
        {EventCode::CallerLeft, Severity::Info, "caller-left"},
        {EventCode::RequestResent, Severity::Info, "request-resent"},
        {EventCode::AttemptBroken, Severity::Info, "attempt-broken"},
        {EventCode::AnswerUnbounded, Severity::Warning, "answer-unbounded"},
        {EventCode::AnswerOutdated, Severity::Warning, "answer-outdated"},
        {EventCode::RequestWithdrawn, Severity::Info, "request-withdrawn"},
        {EventCode::RequestUnanswered, Severity::Warning, "request-unanswered"},
        {EventCode::OverloadBegan, Severity::Warning, "overload-began"},
        {EventCode::OverloadEnded, Severity::Info, "overload-ended"},
        {EventCode::CallersGivenUp, Severity::Warning, "callers-given-up"},
        {EventCode::MessageRejected, Severity::Warning, "message-rejected"},
        {EventCode::LinesDropped, Severity::Warning, "lines-dropped"},
    };
    return catalogue;
}

const EventEntry &eventEntry(EventCode code)
{
    const std::vector<EventEntry> &catalogue = eventCatalogue();
    const auto entry = std::find_if(catalogue.begin(), catalogue.end(), [code](const EventEntry &candidate) {
        return candidate.code == code;
    });
    return entry == catalogue.end() ? catalogue.front() : *entry;
}

}
