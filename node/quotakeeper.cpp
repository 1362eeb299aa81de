#include "node/quotakeeper.h"

#include "cluster/clusterstate.h"
#include "cluster/peerlink.h"
#include "config/activeconfig.h"
#include "core/clock.h"
#include "core/random.h"
#include "node/nodesettings.h"

#include <algorithm>
#include <set>

namespace vanillaspar
{

namespace
{

constexpr Millis peerRequestInterval(40);
constexpr size_t firstRoundPeerCount = 2;
constexpr size_t laterRoundPeerCount = 8;
constexpr Tokens smallestGrant(1);
constexpr double millisPerSecond = 1000;

}

QuotaKeeper::QuotaKeeper(const NodeSettings &settings, const Clock &clock, PeerLink &link, Random &random,
                         bool requestsFromPeers)
    : m_settings(settings)
    , m_clock(clock)
    , m_link(link)
    , m_random(random)
    , m_requestsFromPeers(requestsFromPeers)
    , m_nextRequestId(random.next() | 1)
{
}

const TeamId &QuotaKeeper::weightStoreTeam()
{
    static const TeamId team("@store"); // no clash: names of configured teams have no '@'
    return team;
}

void QuotaKeeper::configure(const ActiveConfig &config, const ClusterState &state, int64_t shares)
{
    const WeightStoreLimits &store = config.document().weightStore;
    m_loadRate = tokensPerLoad * store.loadsPerSecond;
    m_loadBurst = tokensPerLoad * store.concurrentLoads;
    setTeam(weightStoreTeam(), m_loadRate, m_loadBurst, m_isLoadGranter ? ClusterState::totalShares : 0);
    for (const Team &team : config.document().teams) {
        setTeam(team.id, team.rate, team.burst, shares);
    }
    m_grantingPeers.clear();
    for (const auto &[host, member] : state.members) {
        if (host != m_settings.host && member.shares > 0) {
            m_grantingPeers.push_back(member.peerAddress);
        }
    }
}

QuotaKeeper::TeamState &QuotaKeeper::stateOf(const TeamId &team)
{
    const auto found = m_teams.find(team);
    if (found != m_teams.end()) {
        return found->second;
    }
    return m_teams.emplace(team, TeamState {TeamQuota(m_random.next() | 1)}).first->second;
}

void QuotaKeeper::setTeam(const TeamId &team, Tokens rate, Tokens burst, int64_t shares)
{
    const double part = static_cast<double>(shares) / static_cast<double>(ClusterState::totalShares);
    TeamState &state = stateOf(team);
    state.fleetRate = static_cast<double>(rate.value);
    state.quota.configure(part * state.fleetRate, part * static_cast<double>(burst.value), m_clock.now());
}

void QuotaKeeper::setLoadGranter(const std::string &address)
{
    const bool isGranter = address.empty();
    m_loadGranters.clear();
    if (!isGranter) {
        m_loadGranters.push_back(address);
    }
    if (isGranter != m_isLoadGranter) {
        m_isLoadGranter = isGranter; // a new granter starts with an empty bucket
        setTeam(weightStoreTeam(), m_loadRate, m_loadBurst, isGranter ? ClusterState::totalShares : 0);
    }
}

void QuotaKeeper::reset()
{
    for (auto &[team, state] : m_teams) {
        state.quota.reset(m_clock.now());
        for (PendingRequest &pending : state.pendingRequests) {
            pending.peerGrants.clear();
        }
    }
    m_sentRequests.clear();
}

void QuotaKeeper::request(uint64_t key, const TeamId &team, Tokens amount, Millis deadline, Handler handler)
{
    TeamState &state = stateOf(team);
    state.pendingRequests.push_back(
        {key, static_cast<double>(amount.value), m_clock.now(), deadline, std::move(handler), {}, {}});
    processPending(team, state);
}

void QuotaKeeper::requestLoad(uint64_t key, const TeamId &beneficiary, Millis deadline, Handler handler)
{
    TeamState &state = stateOf(weightStoreTeam());
    state.pendingRequests.push_back(
        {key, static_cast<double>(tokensPerLoad.value), m_clock.now(), deadline, std::move(handler), {}, beneficiary});
    processPending(weightStoreTeam(), state);
}

void QuotaKeeper::cancel(uint64_t key)
{
    for (auto &[team, state] : m_teams) {
        const auto pending = std::find_if(state.pendingRequests.begin(), state.pendingRequests.end(),
                                          [key](const PendingRequest &candidate) {
                                              return candidate.key == key;
                                          });
        if (pending == state.pendingRequests.end()) {
            continue;
        }
        for (const PeerGrant &peerGrant : pending->peerGrants) {
            sendRefund(team, peerGrant, peerGrant.amount);
        }
        state.pendingRequests.erase(pending);
        return;
    }
}

double QuotaKeeper::sumPeerGrants(const TeamId &team, PendingRequest &pending)
{
    std::erase_if(pending.peerGrants, [&](const PeerGrant &peerGrant) {
        const bool isOver = peerGrant.usableUntil <= m_clock.now();
        if (isOver) {
            sendRefund(team, peerGrant, peerGrant.amount);
        }
        return isOver;
    });
    double sum = 0;
    for (const PeerGrant &peerGrant : pending.peerGrants) {
        sum += peerGrant.amount;
    }
    return sum;
}

bool QuotaKeeper::tryGrant(const TeamId &team, TeamState &state, size_t index)
{
    PendingRequest &pending = state.pendingRequests[index];
    const double granted = sumPeerGrants(team, pending);
    const double local = std::max(0.0, pending.amount - granted);
    const uint64_t charge = state.quota.charge(local, m_clock.now());
    if (charge == 0) {
        return false;
    }
    double surplus = std::max(0.0, granted - pending.amount);
    for (PeerGrant &peerGrant : pending.peerGrants) {
        const double refunded = std::min(surplus, peerGrant.amount);
        if (refunded > 0) {
            sendRefund(team, peerGrant, refunded);
            peerGrant.amount -= refunded;
            peerGrant.transfer = 0; // a transfer can be settled only once, so nothing more is refunded
            surplus -= refunded;
        }
    }
    m_granted[pending.key] = {team, charge, local, std::move(pending.peerGrants)};
    const Handler handler = std::move(pending.handler);
    state.pendingRequests.erase(state.pendingRequests.begin() + static_cast<std::ptrdiff_t>(index));
    handler(true, Millis(0));
    return true;
}

void QuotaKeeper::refuseExpired(TeamState &state)
{
    while (!state.pendingRequests.empty() && state.pendingRequests.front().deadline <= m_clock.now()) {
        const PendingRequest pending = std::move(state.pendingRequests.front());
        state.pendingRequests.pop_front();
        const double missing = pending.amount - state.quota.level(m_clock.now());
        const double seconds = state.fleetRate > 0 ? missing / state.fleetRate : 1;
        pending.handler(false, Millis(static_cast<int64_t>(std::max(1.0, seconds * millisPerSecond))));
    }
}

void QuotaKeeper::processPending(const TeamId &team, TeamState &state)
{
    if (team == weightStoreTeam()) {
        processPendingLoads(state);
        return;
    }
    while (!state.pendingRequests.empty() && tryGrant(team, state, 0)) {
    }
    refuseExpired(state);
    if (m_requestsFromPeers && !state.pendingRequests.empty() && m_clock.now() >= state.nextPeerRequestAt) {
        requestFromPeers(team, state);
    }
}

void QuotaKeeper::processPendingLoads(TeamState &state)
{
    const Millis now = m_clock.now();
    for (const PendingRequest &pending : state.pendingRequests) {
        m_loadFairness.onLoadRequested(pending.beneficiary, now);
    }
    for (size_t i = 0; i < state.pendingRequests.size();) {
        const TeamId beneficiary = state.pendingRequests[i].beneficiary;
        const bool isFair = !state.pendingRequests[i].peerGrants.empty()
            || (m_isLoadGranter && m_loadFairness.mayLoad(beneficiary, now));
        if (isFair && tryGrant(weightStoreTeam(), state, i)) {
            m_loadFairness.onLoadGranted(beneficiary, now);
            i = 0; // restart, as the handler may have changed the list
        } else {
            ++i;
        }
    }
    refuseExpired(state);
    if (!state.pendingRequests.empty() && !m_loadGranters.empty() && now >= state.nextPeerRequestAt) {
        requestFromLoadGranter(state);
    }
}

void QuotaKeeper::requestFromLoadGranter(TeamState &state)
{
    state.nextPeerRequestAt = m_clock.now() + peerRequestInterval;
    std::set<TeamId> requested;
    for (const PendingRequest &pending : state.pendingRequests) {
        // Part of a load is of no use, so the minimum is the whole amount.
        if (pending.peerGrants.empty() && requested.insert(pending.beneficiary).second) {
            sendRequest(m_loadGranters.front(), weightStoreTeam(), pending, tokensPerLoad, tokensPerLoad);
        }
    }
}

void QuotaKeeper::requestFromPeers(const TeamId &team, TeamState &state)
{
    state.nextPeerRequestAt = m_clock.now() + peerRequestInterval;
    PendingRequest &pending = state.pendingRequests.front();
    const double missing = pending.amount - sumPeerGrants(team, pending) - state.quota.level(m_clock.now());
    const Tokens wanted(static_cast<int64_t>(missing) + 1);
    const size_t count
        = std::min(m_grantingPeers.size(), state.peerRequestRound == 0 ? firstRoundPeerCount : laterRoundPeerCount);
    ++state.peerRequestRound;
    const size_t first = m_random.below(std::max<size_t>(1, m_grantingPeers.size()));
    for (size_t i = 0; i < count; ++i) {
        sendRequest(m_grantingPeers[(first + i) % m_grantingPeers.size()], team, pending, wanted, smallestGrant);
    }
}

void QuotaKeeper::sendRequest(const std::string &peerAddress, const TeamId &team, const PendingRequest &pending,
                              Tokens wanted, Tokens minimum)
{
    const uint64_t requestId = m_nextRequestId++;
    m_sentRequests[requestId] = {team, pending.key, m_clock.now()};
    m_link.send(
        peerAddress,
        TokenRequest {requestId, team, wanted, minimum, m_clock.now() - pending.requestedAt, pending.beneficiary});
}

void QuotaKeeper::onRequest(const std::string &address, const TokenRequest &request)
{
    const auto team = m_teams.find(request.team);
    if (team == m_teams.end() || address.empty() || request.amount.value <= 0) {
        return;
    }
    TeamState &state = team->second;
    const bool isLoad = request.team == weightStoreTeam();
    if (isLoad) {
        m_loadFairness.onLoadRequested(request.beneficiary, m_clock.now());
    }
    const bool isUnfair = isLoad && !m_loadFairness.mayLoad(request.beneficiary, m_clock.now());
    const bool hasOlder = !isLoad && !state.pendingRequests.empty()
        && m_clock.now() - state.pendingRequests.front().requestedAt >= request.waited;
    const double amount = std::min(static_cast<double>(request.amount.value), state.quota.level(m_clock.now()));
    const Tokens whole(static_cast<int64_t>(amount));
    if (hasOlder || isUnfair || whole < std::max(request.minimum, smallestGrant)) {
        return;
    }
    const uint64_t transfer = state.quota.transfer(static_cast<double>(whole.value), m_clock.now());
    if (transfer != 0) {
        if (isLoad) {
            m_loadFairness.onLoadGranted(request.beneficiary, m_clock.now());
        }
        m_link.send(address, TokenGrant {request.requestId, transfer, request.team, whole});
    }
}

void QuotaKeeper::onGrant(const std::string &address, const TokenGrant &grant)
{
    const auto sent = m_sentRequests.find(grant.requestId);
    if (sent == m_sentRequests.end() || sent->second.team != grant.team || grant.amount.value <= 0) {
        return; // late, duplicate or unsolicited
    }
    const SentRequest request = sent->second;
    m_sentRequests.erase(sent);
    const Millis usableUntil = request.sentAt + TeamQuota::transferWindow;
    const PeerGrant peerGrant {address, grant.transfer, static_cast<double>(grant.amount.value), usableUntil};
    if (usableUntil <= m_clock.now()) {
        sendRefund(grant.team, peerGrant, peerGrant.amount);
        return;
    }
    TeamState &state = stateOf(grant.team);
    const auto pending = std::find_if(state.pendingRequests.begin(), state.pendingRequests.end(),
                                      [&](const PendingRequest &candidate) {
                                          return candidate.key == request.key;
                                      });
    if (pending == state.pendingRequests.end()) {
        sendRefund(grant.team, peerGrant, peerGrant.amount);
        return;
    }
    pending->peerGrants.push_back(peerGrant);
    processPending(grant.team, state);
}

void QuotaKeeper::onRefund(const TokenRefund &refund)
{
    const auto team = m_teams.find(refund.team);
    if (team != m_teams.end() && refund.amount.value > 0) {
        team->second.quota.settle(refund.transfer, static_cast<double>(refund.amount.value), m_clock.now());
    }
}

void QuotaKeeper::sendRefund(const TeamId &team, const PeerGrant &peerGrant, double amount)
{
    const Tokens whole(static_cast<int64_t>(amount));
    if (peerGrant.transfer != 0 && whole.value > 0) {
        m_link.send(peerGrant.address, TokenRefund {peerGrant.transfer, team, whole});
    }
}

void QuotaKeeper::settle(uint64_t key, Tokens unused)
{
    const auto found = m_granted.find(key);
    if (found == m_granted.end()) {
        return;
    }
    const GrantedRequest granted = std::move(found->second);
    m_granted.erase(found);
    double remaining = std::max(0.0, static_cast<double>(unused.value));
    const double local = std::min(remaining, granted.local);
    stateOf(granted.team).quota.settle(granted.charge, local, m_clock.now());
    remaining -= local;
    for (const PeerGrant &peerGrant : granted.peerGrants) {
        const double refunded = std::min(remaining, peerGrant.amount);
        sendRefund(granted.team, peerGrant, refunded);
        remaining -= refunded;
    }
}

void QuotaKeeper::tick()
{
    for (auto &[team, state] : m_teams) {
        if (state.pendingRequests.empty()) {
            state.peerRequestRound = 0;
        }
        processPending(team, state);
    }
    std::erase_if(m_sentRequests, [this](const auto &entry) {
        return entry.second.sentAt + TeamQuota::transferWindow <= m_clock.now();
    });
}

size_t QuotaKeeper::waitingCount() const
{
    size_t count = 0;
    for (const auto &[team, state] : m_teams) {
        count += state.pendingRequests.size();
    }
    return count;
}

}
