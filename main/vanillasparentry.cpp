#include "core/error.h"
#include "core/eventlog.h"
#include "main/commandline.h"
#include "main/daemonmain.h"
#include "main/entrymetrics.h"
#include "main/entrysettings.h"
#include "main/guardedrun.h"
#include "main/logfile.h"
#include "net/bootclock.h"
#include "net/fleettransport.h"
#include "net/httpupstream.h"
#include "net/loop.h"
#include "net/processsignals.h"
#include "platform/callerface.h"
#include "platform/directoryface.h"
#include "platform/recorddecoder.h"
#include "platform/replicalink.h"
#include "platform/storeclient.h"
#include "serving/servingnode.h"

#include <cstdlib>
#include <malloc.h>
#include <memory>

namespace vanillaspar
{

namespace
{

constexpr Millis tickInterval(10);
constexpr Millis givenUpInterval(1000); // between two lines about requests that were given up
constexpr int ownMappingBytes = 128 * 1024;
constexpr double bytesPerMb = 1e6;
constexpr Millis settingsInterval(1000); // the file may change without a signal

/** Writes a line when requests were refused or given up to keep the memory for callers within its bound. */
class GivenUpReport
{
public:
    GivenUpReport(const HttpIngress &ingress, EventLog &log, std::string host)
        : m_ingress(ingress), m_log(log), m_host(std::move(host))
    {
    }
    void tick(Millis now)
    {
        if (m_ingress.givenUp() == m_reported || now - m_reportedAt < givenUpInterval) {
            return;
        }
        m_log.record(EventCode::CallersGivenUp, m_host,
                     "requests=" + std::to_string(m_ingress.givenUp() - m_reported)
                         + " kept_bytes=" + std::to_string(m_ingress.keptBytes()));
        m_reported = m_ingress.givenUp();
        m_reportedAt = now;
    }

private:
    const HttpIngress &m_ingress;
    EventLog &m_log;
    std::string m_host;
    uint64_t m_reported = 0;
    Millis m_reportedAt;
};

/** Joins the parts of one entry host on the platform and runs them until the shutdown is over. */
void runEntry(const std::string &path)
{
    // Memory of a large body goes back to the system when it is freed. Left to itself the C library raises this
    // threshold to the largest block freed so far, and bodies then leave holes between what stays.
    mallopt(M_MMAP_THRESHOLD, ownMappingBytes);
    std::string text = readFile(path);
    EntrySettings settings = EntrySettings::fromYaml(text, path);
    LogFile log(settings.logFormat, "", settings.serving.host.text());
    if (ProcessSignals::isTerminating()) {
        log.record(EventCode::NodeDrained, settings.serving.host.text(), "asked to end before the start was over");
        log.flush();
        return;
    }
    Loop loop;
    const BootClock clock;
    HttpUpstream upstream(loop, clock);
    platform::StoreClient store(upstream, Endpoint::parse(settings.storeAddress));
    const platform::PlatformRecordDecoder decoder;
    platform::ReplicaLink replicas(upstream);
    platform::CallerFace callers(loop, clock, Endpoint::parse(settings.serving.callerAddress));
    callers.ingress().setMemoryBudget(
        CallerBudget::bytesForHost(static_cast<size_t>(settings.memoryLimitMb * bytesPerMb)));
    GivenUpReport givenUp(callers.ingress(), log, settings.serving.host.text());
    EntryMetrics metrics;
    std::unique_ptr<serving::ServingNode> node;
    platform::DirectoryFace directory(loop, clock, [&] {
        std::vector<std::pair<std::string, double>> gauges = node->gauges();
        gauges.emplace_back("vanillaspar_caller_memory_bytes", static_cast<double>(callers.ingress().keptBytes()));
        gauges.emplace_back("vanillaspar_requests_given_up", static_cast<double>(callers.ingress().givenUp()));
        return metrics.page(gauges);
    });
    FleetTransport peers(loop, settings.serving.host, Endpoint::parse(settings.serving.peerAddress),
                         MessageCodec(settings.clusterSecret), log, [&](const HostId &from, const Message &message) {
                             node->onPeerMessage(from, message);
                         });
    node = std::make_unique<serving::ServingNode>(settings.serving,
                                                  serving::ServingPorts {clock, store, decoder, peers, callers,
                                                                         replicas, replicas, log, metrics,
                                                                         [&](const IngressLimits &limits) {
                                                                             callers.ingress().setLimits(limits);
                                                                         }},
                                                  randomSeed());
    replicas.setDispatcher(&node->dispatcher());
    replicas.setNoticeListener(&node->replicaNotices());
    callers.setNode(node.get());
    directory.setNode(node.get());
    directory.listen(Endpoint::parse(settings.directoryAddress));
    directory.listen(Endpoint::parse(settings.readinessAddress));
    if (!settings.metricsAddress.empty()) {
        directory.listen(Endpoint::parse(settings.metricsAddress));
    }
    const auto reload = [&] {
        try {
            const std::string changed = readFile(path);
            if (changed == text) {
                return;
            }
            text = changed;
            node->setSettings(EntrySettings::fromYaml(changed, path).serving);
            log.record(EventCode::SettingsReloaded, path, "the new bounds are in force");
        } catch (const DocumentError &error) {
            log.record(EventCode::SettingsRejected, path, error.what());
        }
    };
    loop.every(tickInterval, [&] {
        node->tick();
        givenUp.tick(clock.now());
        if (node->isDrained()) {
            callers.ingress().stopReading(); // the loop's last turn would pass on requests that nobody answers
            const size_t open = node->reportUnanswered();
            log.record(EventCode::NodeDrained, settings.serving.host.text(),
                       "open=" + std::to_string(open)
                           + " unwritten_bytes=" + std::to_string(callers.ingress().unwrittenBytes()));
            loop.stop();
        }
        log.flush();
    });
    loop.every(settingsInterval, reload);
    loop.onReload(reload);
    loop.onTerminate([&] {
        node->beginDrain();
        callers.ingress().beginClosing();
    });
    const int status = runGuarded(
        [&] {
            loop.run();
        },
        log, settings.serving.host.text(),
        [&] {
            return std::to_string(node->dispatcher().openCount()) + " open requests";
        });
    if (status != 0) {
        node->reportUnanswered();
    }
    log.flush();
    // Everything is answered, or lost with the failure, and nothing here outlives the process. The libraries' own
    // threads need not be waited for: where only one thread runs at a time, that kept the listening sockets open until
    // the process was killed.
    std::quick_exit(status);
}

}

}

int main(int argc, char **argv)
{
    using namespace vanillaspar;
    const auto check = [](const std::string &path) {
        EntrySettings::fromYaml(readFile(path), path);
    };
    return runProgram({"vanillaspar-entry", check, runEntry}, argc, argv);
}
