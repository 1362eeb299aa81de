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

constexpr Millis askInterval(40);
constexpr size_t firstRoundPeers = 2;
constexpr size_t laterRoundPeers = 8;
constexpr Tokens smallestGift(1);
constexpr double millisPerSecond = 1000;

}

QuotaKeeper::QuotaKeeper(const NodeSettings &settings, const Clock &clock, PeerLink &link, Random &random,
                         bool asksPeers)
    : m_settings(settings)
    , m_clock(clock)
    , m_link(link)
    , m_random(random)
    , m_asksPeers(asksPeers)
    , m_nextAsk(random.next() | 1)
{
}

const TeamId &QuotaKeeper::storeTeam()
{
    static const TeamId team("@store"); // no configured team can have an '@' in its name
    return team;
}

void QuotaKeeper::configure(const ActiveConfig &config, const ClusterState &state, int64_t shares)
{
    const WeightStoreLimits &store = config.document().weightStore;
    m_storeRate = loadCost * store.loadsPerSecond;
    m_storeBurst = loadCost * store.concurrentLoads;
    setTeam(storeTeam(), m_storeRate, m_storeBurst, m_isStoreHome ? ClusterState::totalShares : 0);
    for (const Team &team : config.document().teams) {
        setTeam(team.id, team.rate, team.burst, shares);
    }
    m_givers.clear();
    for (const auto &[host, member] : state.members) {
        if (host != m_settings.host && member.shares > 0) {
            m_givers.push_back(member.peerAddress);
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

void QuotaKeeper::setStoreHome(const std::string &address)
{
    const bool isHome = address.empty();
    m_storeGivers.clear();
    if (!isHome) {
        m_storeGivers.push_back(address);
    }
    if (isHome != m_isStoreHome) {
        m_isStoreHome = isHome; // a new home starts with an empty bucket
        setTeam(storeTeam(), m_storeRate, m_storeBurst, isHome ? ClusterState::totalShares : 0);
    }
}

void QuotaKeeper::reset()
{
    for (auto &[team, state] : m_teams) {
        state.quota.reset(m_clock.now());
        for (Waiter &waiter : state.waiters) {
            waiter.gifts.clear();
        }
    }
    m_asked.clear();
}

void QuotaKeeper::request(uint64_t item, const TeamId &team, Tokens amount, Millis waitUntil, Handler handler)
{
    TeamState &state = stateOf(team);
    state.waiters.push_back(
        {item, static_cast<double>(amount.value), m_clock.now(), waitUntil, std::move(handler), {}, {}});
    serve(team, state);
}

void QuotaKeeper::requestLoad(uint64_t item, const TeamId &beneficiary, Millis waitUntil, Handler handler)
{
    TeamState &state = stateOf(storeTeam());
    state.waiters.push_back(
        {item, static_cast<double>(loadCost.value), m_clock.now(), waitUntil, std::move(handler), {}, beneficiary});
    serve(storeTeam(), state);
}

void QuotaKeeper::cancel(uint64_t item)
{
    for (auto &[team, state] : m_teams) {
        const auto waiter = std::find_if(state.waiters.begin(), state.waiters.end(), [item](const Waiter &candidate) {
            return candidate.item == item;
        });
        if (waiter == state.waiters.end()) {
            continue;
        }
        for (const Gift &gift : waiter->gifts) {
            giveBack(team, gift, gift.amount);
        }
        state.waiters.erase(waiter);
        return;
    }
}

double QuotaKeeper::gathered(const TeamId &team, Waiter &waiter)
{
    std::erase_if(waiter.gifts, [&](const Gift &gift) {
        const bool isOver = gift.usableUntil <= m_clock.now();
        if (isOver) {
            giveBack(team, gift, gift.amount);
        }
        return isOver;
    });
    double sum = 0;
    for (const Gift &gift : waiter.gifts) {
        sum += gift.amount;
    }
    return sum;
}

bool QuotaKeeper::tryGrant(const TeamId &team, TeamState &state, size_t index)
{
    Waiter &waiter = state.waiters[index];
    const double given = gathered(team, waiter);
    const double local = std::max(0.0, waiter.amount - given);
    const uint64_t charge = state.quota.charge(local, m_clock.now());
    if (charge == 0) {
        return false;
    }
    double surplus = std::max(0.0, given - waiter.amount);
    for (Gift &gift : waiter.gifts) {
        const double back = std::min(surplus, gift.amount);
        if (back > 0) {
            giveBack(team, gift, back);
            gift.amount -= back;
            gift.transfer = 0; // a transfer is settled once
            surplus -= back;
        }
    }
    m_granted[waiter.item] = {team, charge, local, std::move(waiter.gifts)};
    const Handler handler = std::move(waiter.handler);
    state.waiters.erase(state.waiters.begin() + static_cast<std::ptrdiff_t>(index));
    handler(true, Millis(0));
    return true;
}

void QuotaKeeper::refuseOverdue(TeamState &state)
{
    while (!state.waiters.empty() && state.waiters.front().until <= m_clock.now()) {
        const Waiter waiter = std::move(state.waiters.front());
        state.waiters.pop_front();
        const double missing = waiter.amount - state.quota.level(m_clock.now());
        const double seconds = state.fleetRate > 0 ? missing / state.fleetRate : 1;
        waiter.handler(false, Millis(static_cast<int64_t>(std::max(1.0, seconds * millisPerSecond))));
    }
}

void QuotaKeeper::serve(const TeamId &team, TeamState &state)
{
    if (team == storeTeam()) {
        serveLoads(state);
        return;
    }
    while (!state.waiters.empty() && tryGrant(team, state, 0)) {
    }
    refuseOverdue(state);
    if (m_asksPeers && !state.waiters.empty() && m_clock.now() >= state.nextAskAt) {
        askPeers(team, state);
    }
}

void QuotaKeeper::serveLoads(TeamState &state)
{
    const Millis now = m_clock.now();
    for (const Waiter &waiter : state.waiters) {
        m_loadFairness.onLoadRequested(waiter.beneficiary, now);
    }
    for (size_t i = 0; i < state.waiters.size();) {
        const TeamId beneficiary = state.waiters[i].beneficiary;
        const bool isFair
            = !state.waiters[i].gifts.empty() || (m_isStoreHome && m_loadFairness.mayLoad(beneficiary, now));
        if (isFair && tryGrant(storeTeam(), state, i)) {
            m_loadFairness.onLoadGranted(beneficiary, now);
            i = 0; // the handler may have changed the list
        } else {
            ++i;
        }
    }
    refuseOverdue(state);
    if (!state.waiters.empty() && !m_storeGivers.empty() && now >= state.nextAskAt) {
        askForLoads(state);
    }
}

void QuotaKeeper::askForLoads(TeamState &state)
{
    state.nextAskAt = m_clock.now() + askInterval;
    std::set<TeamId> asked;
    for (const Waiter &waiter : state.waiters) {
        // Half a load is of no use, so the tokens have to come in one piece.
        if (waiter.gifts.empty() && asked.insert(waiter.beneficiary).second) {
            sendAsk(m_storeGivers.front(), storeTeam(), waiter, loadCost, loadCost);
        }
    }
}

void QuotaKeeper::askPeers(const TeamId &team, TeamState &state)
{
    state.nextAskAt = m_clock.now() + askInterval;
    Waiter &waiter = state.waiters.front();
    const double missing = waiter.amount - gathered(team, waiter) - state.quota.level(m_clock.now());
    const Tokens wanted(static_cast<int64_t>(missing) + 1);
    const size_t count = std::min(m_givers.size(), state.askRound == 0 ? firstRoundPeers : laterRoundPeers);
    ++state.askRound;
    const size_t first = m_random.below(std::max<size_t>(1, m_givers.size()));
    for (size_t i = 0; i < count; ++i) {
        sendAsk(m_givers[(first + i) % m_givers.size()], team, waiter, wanted, smallestGift);
    }
}

void QuotaKeeper::sendAsk(const std::string &giver, const TeamId &team, const Waiter &waiter, Tokens wanted,
                          Tokens least)
{
    const uint64_t ask = m_nextAsk++;
    m_asked[ask] = {team, waiter.item, m_clock.now()};
    m_link.send(giver, TokenRequest {ask, team, wanted, least, m_clock.now() - waiter.since, waiter.beneficiary});
}

void QuotaKeeper::onAsk(const std::string &address, const TokenRequest &ask)
{
    const auto team = m_teams.find(ask.team);
    if (team == m_teams.end() || address.empty() || ask.amount.value <= 0) {
        return;
    }
    TeamState &state = team->second;
    const bool isLoad = ask.team == storeTeam();
    if (isLoad) {
        m_loadFairness.onLoadRequested(ask.beneficiary, m_clock.now());
    }
    const bool isUnfair = isLoad && !m_loadFairness.mayLoad(ask.beneficiary, m_clock.now());
    const bool hasOlder
        = !isLoad && !state.waiters.empty() && m_clock.now() - state.waiters.front().since >= ask.waited;
    const double amount = std::min(static_cast<double>(ask.amount.value), state.quota.level(m_clock.now()));
    const Tokens whole(static_cast<int64_t>(amount));
    if (hasOlder || isUnfair || whole < std::max(ask.minimum, smallestGift)) {
        return;
    }
    const uint64_t transfer = state.quota.transfer(static_cast<double>(whole.value), m_clock.now());
    if (transfer != 0) {
        if (isLoad) {
            m_loadFairness.onLoadGranted(ask.beneficiary, m_clock.now());
        }
        m_link.send(address, TokenGrant {ask.requestId, transfer, ask.team, whole});
    }
}

void QuotaKeeper::onGrant(const std::string &address, const TokenGrant &grant)
{
    const auto asked = m_asked.find(grant.requestId);
    if (asked == m_asked.end() || asked->second.team != grant.team || grant.amount.value <= 0) {
        return; // late, doubled or never asked for
    }
    const Asked ask = asked->second;
    m_asked.erase(asked);
    const Millis usableUntil = ask.sentAt + TeamQuota::transferWindow;
    const Gift gift {address, grant.transfer, static_cast<double>(grant.amount.value), usableUntil};
    if (usableUntil <= m_clock.now()) {
        giveBack(grant.team, gift, gift.amount);
        return;
    }
    TeamState &state = stateOf(grant.team);
    const auto waiter = std::find_if(state.waiters.begin(), state.waiters.end(), [&](const Waiter &candidate) {
        return candidate.item == ask.item;
    });
    if (waiter == state.waiters.end()) {
        giveBack(grant.team, gift, gift.amount);
        return;
    }
    waiter->gifts.push_back(gift);
    serve(grant.team, state);
}

void QuotaKeeper::onRefund(const TokenRefund &refund)
{
    const auto team = m_teams.find(refund.team);
    if (team != m_teams.end() && refund.amount.value > 0) {
        team->second.quota.settle(refund.transfer, static_cast<double>(refund.amount.value), m_clock.now());
    }
}

void QuotaKeeper::giveBack(const TeamId &team, const Gift &gift, double amount)
{
    const Tokens whole(static_cast<int64_t>(amount));
    if (gift.transfer != 0 && whole.value > 0) {
        m_link.send(gift.address, TokenRefund {gift.transfer, team, whole});
    }
}

void QuotaKeeper::settle(uint64_t item, Tokens unused)
{
    const auto found = m_granted.find(item);
    if (found == m_granted.end()) {
        return;
    }
    const Granted granted = std::move(found->second);
    m_granted.erase(found);
    double left = std::max(0.0, static_cast<double>(unused.value));
    const double local = std::min(left, granted.local);
    stateOf(granted.team).quota.settle(granted.charge, local, m_clock.now());
    left -= local;
    for (const Gift &gift : granted.gifts) {
        const double back = std::min(left, gift.amount);
        giveBack(granted.team, gift, back);
        left -= back;
    }
}

void QuotaKeeper::tick()
{
    for (auto &[team, state] : m_teams) {
        if (state.waiters.empty()) {
            state.askRound = 0;
        }
        serve(team, state);
    }
    std::erase_if(m_asked, [this](const auto &entry) {
        return entry.second.sentAt + TeamQuota::transferWindow <= m_clock.now();
    });
}

size_t QuotaKeeper::waitingCount() const
{
    size_t count = 0;
    for (const auto &[team, state] : m_teams) {
        count += state.waiters.size();
    }
    return count;
}

}
