#include "core/error.h"
#include "core/hash.h"
#include "main/commandline.h"
#include "main/daemonmain.h"
#include "main/daemonsettings.h"
#include "main/logfile.h"
#include "main/prometheusmetrics.h"
#include "net/callerapi.h"
#include "net/endpoint.h"
#include "net/httpbackendlink.h"
#include "net/httpclient.h"
#include "net/httpobjectapi.h"
#include "net/loop.h"
#include "net/peertransport.h"
#include "node/node.h"

#include <memory>

namespace vanillaspar
{

namespace
{

constexpr Millis tickInterval(20);

/** Joins the parts of one entry host and runs them until the shutdown is over. */
void runDaemon(DaemonSettings settings)
{
    settings.node.seed = randomSeed();
    LogFile log(settings.logFormat, settings.logFile, settings.node.host.text());
    Loop loop;
    std::unique_ptr<Node> node;
    PrometheusMetrics metrics;
    HttpClient client(loop);
    HttpObjectApi objects(client, settings.platformAddress, [&](const ObjectReply &reply) {
        node->onObjectReply(reply);
    });
    HttpBackendLink backends(client, [&](const BackendEvent &event) {
        node->onBackendEvent(event);
    });
    CallerApi callers(loop, Endpoint::parse(settings.node.callerAddress), settings.operatorHash, [&] {
        return metrics.page(*node);
    });
    PeerTransport peers(loop, settings.node.host, Endpoint::parse(settings.node.peerAddress),
                        MessageCodec(settings.clusterSecret), log,
                        {[&](const HostId &from, const Message &message) {
                             node->onPeerMessage(from, message);
                         },
                         [&](const std::string &address, Millis startedAt) {
                             node->onPeerRefused(address, startedAt);
                         }});
    node = std::make_unique<Node>(settings.node, Ports {loop, objects, peers, backends, callers, log, metrics});
    callers.setNode(node.get());
    loop.every(tickInterval, [&] {
        node->tick();
        if (node->isDrained()) {
            log.record(EventCode::NodeDrained, settings.node.host.text(), "every request answered");
            loop.stop();
        }
        log.flush();
    });
    loop.onTerminate([&] {
        node->beginDrain();
    });
    loop.run();
    log.flush();
}

}

}

int main(int argc, char **argv)
{
    using namespace vanillaspar;
    const auto read = [](const std::string &path) {
        return DaemonSettings::fromYaml(readFile(path), path);
    };
    return runProgram({"vanillaspard", read,
                       [&](const std::string &path) {
                           runDaemon(read(path));
                       }},
                      argc, argv);
}
