#include "tests/matrix/mutation.h"

#include "cluster/clusterstate.h"
#include "core/hash.h"
#include "objects/objectcall.h"
#include "tests/fakes/fleet.h"
#include "tests/matrix/matrixrun.h"

#include <cstring>

namespace vanillaspar
{

namespace
{

bool startsWith(const std::string &text, const char *prefix)
{
    return text.compare(0, std::strlen(prefix), prefix) == 0;
}

/** Claims are granted whatever stands in the platform. */
void dropClaims(Fleet &fleet)
{
    fleet.alterReply = [](const ObjectCall &call, ObjectReply &reply) {
        if (startsWith(call.path, "system/claims/")) {
            reply.status = call.kind == ObjectCall::Kind::Put ? ObjectReply::Status::Ok : ObjectReply::Status::Missing;
        }
    };
}

/** Every host believes that it holds all of every team's rate. */
void splitWithoutEscrow(Fleet &fleet)
{
    fleet.alterReply = [](const ObjectCall &call, ObjectReply &reply) {
        if (call.path == "system/cluster" && reply.status == ObjectReply::Status::Ok && !reply.value.empty()) {
            ClusterState state = ClusterState::fromText(reply.value, reply.version);
            for (auto &[host, member] : state.members) {
                member.shares = ClusterState::totalShares;
            }
            reply.value = state.toText();
        }
    };
    // A harmless write makes every host read the altered state.
    const ObjectTable::Object *object = fleet.platform.find("system/cluster");
    const std::string value = object->value;
    fleet.platform.set("system/cluster", value);
    fleet.wakeWatches("system/cluster");
}

/** Hosts hear of no new configuration and serve all the same. */
void freezeConfig(Fleet &fleet)
{
    fleet.isConfigFrozen = true;
}

void dropHostList(Fleet &fleet)
{
    fleet.alterReply = [](const ObjectCall &call, ObjectReply &reply) {
        if (call.path == "objects/hosts") {
            reply.status = ObjectReply::Status::Missing;
        }
    };
}

/** Pieces lose their text on the way. */
void losePieces(Fleet &fleet)
{
    fleet.alterEvent = [](BackendEvent &event) {
        auto *piece = std::get_if<Piece>(&event.what);
        if (piece != nullptr && piece->index == 2) {
            piece->text.clear();
        }
    };
}

void crossAdapters(Fleet &fleet)
{
    fleet.alterCall = [](BackendCall &call) {
        const AdapterRef wrong("team-1-adapter-0@1");
        if (auto *work = std::get_if<GenerateCall>(&call.work)) {
            work->adapter = wrong;
        } else if (auto *order = std::get_if<OrderCall>(&call.work)) {
            order->adapter = wrong;
        }
    };
    fleet.alterEvent = [](BackendEvent &event) {
        if (auto *piece = std::get_if<Piece>(&event.what)) {
            piece->adapter = AdapterRef("team-0-adapter-0@1");
        }
    };
}

/** Engines run a request and then say that they refused it. */
void lieAboutRunning(Fleet &fleet)
{
    fleet.alterEvent = [](BackendEvent &event) {
        const bool isAnswer
            = std::holds_alternative<Piece>(event.what) || std::holds_alternative<Generated>(event.what);
        if (isAnswer) {
            event.what = Rejected {Rejected::Reason::Busy, "busy"};
        }
    };
}

/** Team 1's key counts as team 0's. */
void mixTeams(Fleet &fleet)
{
    Document next = fleet.document;
    next.keys[1].hash = sha256Hex("unused");
    next.keys.push_back({KeyId("crossed"), TeamId("team-0"), sha256Hex("secret-team-1")});
    fleet.accept(next, fleet.documentVersion);
    fleet.runFor(Millis(500));
}

void leakKeys(Fleet &fleet)
{
    fleet.alterCall = [](BackendCall &call) {
        if (auto *work = std::get_if<GenerateCall>(&call.work)) {
            work->request = RequestId("secret-team-0");
        }
    };
}

/** A shutdown ends the process at once. */
void exitAtOnce(Fleet &fleet)
{
    fleet.isDrainSkipped = true;
}

void swallowAnswers(Fleet &fleet)
{
    fleet.isAnswerSwallowed = true;
}

void stopPlatform(Fleet &fleet)
{
    fleet.platformDownUntil = fleet.clock.now() + Millis(1'000'000);
    fleet.at(fleet.clock.now() + Millis(30'000), [&fleet] {
        for (auto &[id, replica] : fleet.replicas) {
            replica.downUntil = fleet.clock.now() + Millis(1'000'000);
        }
    });
}

const Scenario &scenarioNamed(const std::string &name)
{
    for (const Scenario &scenario : scenarios()) {
        if (name == scenario.name) {
            return scenario;
        }
    }
    return scenarios().front();
}

size_t faultNamed(const std::string &name)
{
    for (size_t i = 0; i < faults().size(); ++i) {
        if (name == faults()[i].name) {
            return i;
        }
    }
    return 0;
}

bool isCaught(const Mutation &mutation, const MatrixResult &result, Catch &found)
{
    for (const Violation &violation : result.violations) {
        if (violation.property == mutation.caughtBy) {
            found.isCaught = true;
            found.what = violation.what;
            return true;
        }
    }
    return false;
}

}

const std::vector<Mutation> &mutations()
{
    static const std::vector<Mutation> all {
        {"adapters crossed", Property::RightAdapter, "idempotent", "", crossAdapters},
        {"teams mixed", Property::OwnTeamOnly, "refused", "", mixTeams},
        {"keys leaked", Property::NoKeyAtBackends, "idempotent", "", leakKeys},
        {"configuration frozen, keys", Property::WithdrawnKeyStops, "withdrawal", "", freezeConfig},
        {"split without escrow", Property::RateAndBurst, "rate", "", splitWithoutEscrow},
        {"pieces lost", Property::WholeAnswer, "idempotent", "", losePieces},
        {"engines lie", Property::TruthfulNotRun, "idempotent", "", lieAboutRunning},
        {"claims dropped", Property::AtMostOnce, "booking", "", dropClaims},
        {"host list dropped", Property::LeavingGetsNoWork, "leaving", "", dropHostList},
        {"drain skipped", Property::GracefulShutdown, "shutdown", "", exitAtOnce},
        {"configuration frozen", Property::ConfigurationInForce, "config-change", "", freezeConfig},
        {"answers swallowed", Property::EveryRequestEnds, "idempotent", "", swallowAnswers},
        {"engines stopped for good", Property::ServesAgain, "idempotent", "", stopPlatform},
    };
    return all;
}

Catch runMutation(const Mutation &mutation, uint64_t seed)
{
    Catch found;
    const Scenario &scenario = scenarioNamed(mutation.scenario);
    const MatrixResult plain = runScenario(scenario, {}, seed, mutation.apply);
    const bool needsFault = std::strlen(mutation.fault) > 0;
    if (!needsFault) {
        isCaught(mutation, plain, found);
        return found;
    }
    const size_t fault = faultNamed(mutation.fault);
    for (size_t step = 0; step < plain.steps; ++step) {
        found.step = step;
        if (isCaught(mutation, runScenario(scenario, {{fault, step}}, seed, mutation.apply), found)) {
            return found;
        }
    }
    return found;
}

}
