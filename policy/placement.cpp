#include "policy/placement.h"

#include "core/hash.h"
#include "core/random.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace vanillaspar
{

namespace
{

constexpr double loadBound = 1.25; // multiple of the mean load above which a request goes to the next replica
constexpr double boundSlack = 2; // requests allowed above the bound, so that an idle fleet doesn't spread adapters

double loadOf(const Candidate &candidate)
{
    return static_cast<double>(candidate.outstanding) / static_cast<double>(std::max<int64_t>(1, candidate.batch));
}

std::vector<size_t> rendezvousOrder(const AdapterRef &adapter, const std::vector<Candidate> &candidates)
{
    std::vector<std::pair<uint64_t, size_t>> ranks;
    ranks.reserve(candidates.size());
    const uint64_t seed = stableHash(adapter.text());
    for (size_t i = 0; i < candidates.size(); ++i) {
        ranks.emplace_back(stableHash(candidates[i].replica.text(), seed), i);
    }
    std::sort(ranks.rbegin(), ranks.rend());
    std::vector<size_t> order;
    order.reserve(ranks.size());
    for (const auto &[rank, index] : ranks) {
        order.push_back(index);
    }
    return order;
}

class BoundedLoadRendezvous : public Placement
{
public:
    size_t choose(const AdapterRef &adapter, double popularity, const std::vector<Candidate> &candidates,
                  Random & /*random*/) const override
    {
        const std::vector<size_t> order = rendezvousOrder(adapter, candidates);
        const double mean = std::accumulate(candidates.begin(), candidates.end(), 0.0,
                                            [](double sum, const Candidate &candidate) {
                                                return sum + loadOf(candidate);
                                            })
            / static_cast<double>(candidates.size());
        const size_t copies = std::clamp<size_t>(
            static_cast<size_t>(std::ceil(popularity * static_cast<double>(candidates.size()))), 1, candidates.size());
        const size_t best = *std::min_element(order.begin(), order.begin() + static_cast<std::ptrdiff_t>(copies),
                                              [&](size_t a, size_t b) {
                                                  return loadOf(candidates[a]) < loadOf(candidates[b]);
                                              });
        if (isWithinBound(candidates[best], mean)) {
            return best;
        }
        for (size_t i = copies; i < order.size(); ++i) {
            if (isWithinBound(candidates[order[i]], mean)) {
                return order[i];
            }
        }
        return best;
    }

private:
    static bool isWithinBound(const Candidate &candidate, double mean)
    {
        return static_cast<double>(candidate.outstanding)
            <= loadBound * mean * static_cast<double>(candidate.batch) + boundSlack;
    }
};

class PlainRendezvous : public Placement
{
public:
    size_t choose(const AdapterRef &adapter, double /*popularity*/, const std::vector<Candidate> &candidates,
                  Random & /*random*/) const override
    {
        return rendezvousOrder(adapter, candidates).front();
    }
};

class LeastLoaded : public Placement
{
public:
    size_t choose(const AdapterRef & /*adapter*/, double /*popularity*/, const std::vector<Candidate> &candidates,
                  Random &random) const override
    {
        const size_t first = random.below(candidates.size());
        size_t best = first;
        for (size_t i = 0; i < candidates.size(); ++i) {
            const size_t index = (first + i) % candidates.size();
            if (loadOf(candidates[index]) < loadOf(candidates[best])) {
                best = index;
            }
        }
        return best;
    }
};

}

std::unique_ptr<Placement> makeBoundedLoadRendezvous()
{
    return std::make_unique<BoundedLoadRendezvous>();
}

std::unique_ptr<Placement> makePlainRendezvous()
{
    return std::make_unique<PlainRendezvous>();
}

std::unique_ptr<Placement> makeLeastLoaded()
{
    return std::make_unique<LeastLoaded>();
}

}
