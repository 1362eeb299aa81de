#pragma once

#include "core/random.h"
#include "serving/admission/admission.h"
#include "serving/dispatcher.h"
#include "serving/guards/promptguard.h"
#include "serving/placement/enginechooser.h"
#include "serving/queueing/requestlog.h"
#include "serving/replicas/adapterversions.h"
#include "serving/replicas/backendtable.h"
#include "serving/replicas/replicanotices.h"
#include "serving/replicas/residencymap.h"
#include "tests/fakes/servingfakes.h"

#include <memory>
#include <string>

namespace vanillaspar::serving
{

/** A dispatcher with two engines and two replicas of a plain service, all of them fakes. */
class DispatchFixture
{
protected:
    /** @param seed seed of the random numbers. */
    explicit DispatchFixture(uint64_t seed) : m_random(seed)
    {
    }

    /**
     * Configures the dispatcher and registers the replicas.
     *
     * @param keysTrustedUntil until when API keys are accepted.
     */
    void startDispatch(Millis keysTrustedUntil)
    {
        m_clock.setNow(startTime - retryLimits.window);
        m_dispatcher.setRetryLimits(retryLimits); // a window earlier, so that the allowance is earned
        m_clock.setNow(startTime);
        m_admission.setQuotaHosts(1, 0, Millis(0), false, m_clock.now());
        m_admission.setConfig(std::make_shared<ServingConfig>(makeConfig()), m_clock.now());
        m_admission.setKeysTrustedUntil(keysTrustedUntil);
        for (const std::string id : {"e1", "e2"}) {
            const Backend backend = makeBackend(id, "engines", {{"m/a1", 1}});
            m_residency.onDiscovered(backend, m_clock.now());
            m_backends.upsert(backend, m_clock.now());
        }
        m_backends.upsert(makeBackend("s1", "desk"), m_clock.now());
        m_backends.upsert(makeBackend("s2", "desk"), m_clock.now());
    }

    static constexpr Millis startTime {10000};
    static constexpr RetryLimits retryLimits {0.2, 5, Millis(10000)};

    VirtualClock m_clock;
    Random m_random;
    FakeLog m_log;
    FakeCallers m_callers;
    FakeAttempts m_attempts;
    Admission m_admission {m_random};
    BackendTable m_backends;
    ResidencyMap m_residency;
    AdapterVersions m_versions;
    EngineChooser m_chooser {m_backends,
                             m_residency,
                             m_versions,
                             DomainId("a"),
                             [](const ReplicaId &) {
                                 return true;
                             },
                             m_random};
    FakeMetrics m_metrics;
    ReplicaNotices m_notices {m_clock, m_backends, m_log, m_metrics};
    PromptGuard m_prompts {m_clock, m_backends, m_log, m_random};
    RequestLog m_requestLog {m_log, m_metrics};
    Dispatcher m_dispatcher {{m_clock, m_callers, m_attempts, m_admission, m_backends, m_residency, m_versions,
                              m_chooser, m_prompts, m_requestLog, DomainId("a")}};
};

}
