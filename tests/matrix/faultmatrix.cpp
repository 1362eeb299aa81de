// Runs every scenario with every fault at every step and prints the table of properties against faults.

#include "core/error.h"
#include "core/random.h"
#include "main/commandline.h"
#include "tests/matrix/matrixrun.h"

#include <array>
#include <iomanip>
#include <iostream>
#include <map>

namespace vanillaspar
{

namespace
{

constexpr uint64_t fleetSeed = 11;

/** Options of one call. */
struct MatrixOptions
{
    std::string scenario;
    std::string fault;
    std::string step;
    std::string shard = "0/1";
    std::string pairs = "0";
    std::string pair;
    std::string stride = "1";
};

/** Runs one shard of the matrix and keeps the counts. */
class Matrix
{
public:
    explicit Matrix(const MatrixOptions &options)
        : m_options(options)
        , m_shard(std::stoul(options.shard))
        , m_shards(std::stoul(options.shard.substr(options.shard.find('/') + 1)))
    {
    }

    int run()
    {
        for (const Scenario &scenario : scenarios()) {
            if (!m_options.scenario.empty() && m_options.scenario != scenario.name) {
                continue;
            }
            const MatrixResult plain = runScenario(scenario, {}, fleetSeed);
            note(scenario.name, "none", 0, plain);
            runFaults(scenario, plain.steps);
            runNamedPair(scenario);
            runPairs(scenario, plain.steps);
        }
        print();
        return m_failed == 0 ? 0 : 1;
    }

private:
    bool isMine()
    {
        return m_counter++ % m_shards == m_shard;
    }

    void runFaults(const Scenario &scenario, size_t steps)
    {
        const size_t stride = std::stoul(m_options.stride);
        for (size_t fault = 0; fault < faults().size(); ++fault) {
            const std::string name = faults()[fault].name;
            const bool isMeant = scenario.onlyFault == nullptr || name == scenario.onlyFault;
            if (!isMeant || (!m_options.fault.empty() && m_options.fault != name)) {
                continue;
            }
            for (size_t step = 0; step < steps; step += stride) {
                const bool isWanted = m_options.step.empty() || std::stoul(m_options.step) == step;
                if (isWanted && isMine()) {
                    note(scenario.name, faults()[fault].name, step, runScenario(scenario, {{fault, step}}, fleetSeed));
                }
            }
        }
    }

    void runPairs(const Scenario &scenario, size_t steps)
    {
        const size_t count = scenario.onlyFault == nullptr ? std::stoul(m_options.pairs) / scenarios().size() : 0;
        Random random(fleetSeed + steps);
        for (size_t i = 0; i < count; ++i) {
            const PlannedFault first {random.below(faults().size()), random.below(steps)};
            const PlannedFault second {random.below(faults().size()), random.below(steps)};
            if (isMine()) {
                const std::string name = std::string(faults()[first.fault].name) + "@" + std::to_string(first.step)
                    + "+" + faults()[second.fault].name;
                note(scenario.name, "pair", second.step, runScenario(scenario, {first, second}, fleetSeed), name);
            }
        }
    }

    /** Runs the pair that was named, for a scenario that was named too. */
    void runNamedPair(const Scenario &scenario)
    {
        const size_t plus = m_options.pair.find('+');
        if (m_options.pair.empty() || m_options.scenario != scenario.name || plus == std::string::npos || !isMine()) {
            return;
        }
        const PlannedFault first = parseFault(m_options.pair.substr(0, plus));
        const PlannedFault second = parseFault(m_options.pair.substr(plus + 1));
        const std::string name = m_options.pair.substr(0, m_options.pair.rfind('@'));
        note(scenario.name, "pair", second.step, runScenario(scenario, {first, second}, fleetSeed), name);
    }

    /** @throws std::invalid_argument if the text isn't FAULT@STEP. */
    static PlannedFault parseFault(const std::string &text)
    {
        const size_t at = text.find('@');
        for (size_t i = 0; i < faults().size(); ++i) {
            if (text.substr(0, at) == faults()[i].name && at != std::string::npos) {
                return {i, std::stoul(text.substr(at + 1))};
            }
        }
        throw std::invalid_argument("no such fault: " + text);
    }

    void note(const std::string &scenario, const std::string &fault, size_t step, const MatrixResult &result,
              const std::string &detail = {})
    {
        ++m_runs[fault];
        if (result.violations.empty()) {
            ++m_passed;
            return;
        }
        ++m_failed;
        for (const Violation &violation : result.violations) {
            ++m_counts[fault][static_cast<size_t>(violation.property) - 1];
        }
        const Violation &first = result.violations.front();
        std::cout << "FAILED " << scenario << " " << (detail.empty() ? fault : detail) << "@" << step << ": "
                  << propertyName(first.property) << ": " << first.what << "\n";
    }

    void print() const
    {
        std::cout << "table fault runs";
        for (int i = 1; i <= propertyCount; ++i) {
            std::cout << " " << propertyName(static_cast<Property>(i));
        }
        std::cout << "\n";
        for (const auto &[fault, runs] : m_runs) {
            std::cout << "table " << fault << " " << runs;
            const auto counts = m_counts.find(fault);
            for (int i = 0; i < propertyCount; ++i) {
                std::cout << " " << (counts == m_counts.end() ? 0 : counts->second[static_cast<size_t>(i)]);
            }
            std::cout << "\n";
        }
        std::cout << m_passed << " passed, " << m_failed << " failed\n";
    }

    MatrixOptions m_options;
    size_t m_shard;
    size_t m_shards;
    size_t m_counter = 0;
    std::map<std::string, size_t> m_runs;
    std::map<std::string, std::array<size_t, propertyCount>> m_counts;
    size_t m_passed = 0;
    size_t m_failed = 0;
};

int run(int argc, const char **argv)
{
    MatrixOptions options;
    CommandLine line("[options]");
    line.addValue("scenario", options.scenario, "only this scenario");
    line.addValue("fault", options.fault, "only this fault");
    line.addValue("step", options.step, "only this step");
    line.addValue("shard", options.shard, "part of the runs, as in 0/8");
    line.addValue("pairs", options.pairs, "number of pairs of faults to draw");
    line.addValue("pair", options.pair, "one pair of faults, as in cut@3+outage@9");
    line.addValue("stride", options.stride, "try every n-th step only");
    line.parse(argc, argv);
    return Matrix(options).run();
}

}

}

int main(int argc, char **argv)
{
    try {
        return vanillaspar::run(argc, const_cast<const char **>(argv));
    } catch (const std::exception &error) {
        std::cerr << "faultmatrix: " << error.what() << "\n";
        return 2;
    }
}
