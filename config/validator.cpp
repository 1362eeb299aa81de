#include "config/validator.h"

#include <algorithm>
#include <cctype>

#include <map>
#include <set>

namespace vanillaspar
{

namespace
{

constexpr int64_t maxRate = 1'000'000'000; // tokens a second
constexpr size_t maxNameLength = 128; // characters
constexpr size_t sha256HexLength = 64; // characters

bool isNameCharacter(char character)
{
    return std::isalnum(static_cast<unsigned char>(character)) != 0 || character == '-' || character == '_'
        || character == '.';
}

bool isName(const std::string &text)
{
    return !text.empty() && text.size() <= maxNameLength && std::all_of(text.begin(), text.end(), isNameCharacter);
}

bool isAdapterRef(const std::string &text)
{
    const size_t at = text.find('@');
    return at != std::string::npos && isName(text.substr(0, at)) && isName(text.substr(at + 1));
}

bool isAddress(const std::string &text)
{
    const size_t colon = text.rfind(':');
    if (colon == std::string::npos || colon == 0) {
        return false;
    }
    const std::string port = text.substr(colon + 1);
    const bool isNumber
        = !port.empty() && port.size() <= 5 && std::all_of(port.begin(), port.end(), [](unsigned char c) {
              return std::isdigit(c) != 0;
          });
    const bool isIp = std::all_of(text.begin(), text.begin() + static_cast<std::ptrdiff_t>(colon), [](unsigned char c) {
        return std::isxdigit(c) != 0 || c == '.' || c == ':' || c == '[' || c == ']';
    });
    return isNumber && isIp && std::stoi(port) > 0 && std::stoi(port) <= 65535;
}

/** Checks one document and collects the problems. */
class DocumentValidator
{
public:
    explicit DocumentValidator(const Document &document) : m_document(document)
    {
    }

    std::vector<Problem> check()
    {
        checkTeams();
        checkReplicas();
        checkAdapters();
        checkKeys();
        checkRoutes();
        require(m_document.weightStore.loadsPerSecond > 0, "/store/loads-per-second", "must be above 0");
        require(m_document.weightStore.concurrentLoads > 0, "/store/concurrent-loads", "must be above 0");
        return m_problems;
    }

private:
    void require(bool isValid, const std::string &where, const std::string &what)
    {
        if (!isValid) {
            m_problems.push_back({where, what});
        }
    }

    template<class Id>
    void requireUniqueName(const Id &id, std::set<Id> &seen, const std::string &where)
    {
        require(isName(id.text()), where, "\"" + id.text() + "\" is not a name of letters, digits, '-', '_' and '.'");
        require(seen.insert(id).second, where, "\"" + id.text() + "\" is defined twice");
    }

    void requireTeam(const TeamId &team, const std::string &where)
    {
        require(m_teams.count(team) > 0, where, "team \"" + team.text() + "\" does not exist");
    }

    void checkTeams()
    {
        for (size_t i = 0; i < m_document.teams.size(); ++i) {
            const Team &team = m_document.teams[i];
            const std::string where = "/teams/" + std::to_string(i);
            requireUniqueName(team.id, m_teams, where + "/id");
            require(team.rate.value > 0 && team.rate.value <= maxRate, where + "/rate",
                    "must be between 1 and 1000000000 tokens a second");
            require(team.burst >= team.rate / 2 && team.burst.value <= maxRate, where + "/burst",
                    "must be at least half of the rate and at most 1000000000 tokens");
        }
    }

    void checkReplicas()
    {
        std::set<ReplicaId> seen;
        for (size_t i = 0; i < m_document.replicas.size(); ++i) {
            const Replica &replica = m_document.replicas[i];
            const std::string where = "/replicas/" + std::to_string(i);
            requireUniqueName(replica.id, seen, where + "/id");
            require(isName(replica.pool.text()), where + "/pool", "is not a name");
            require(isName(replica.domain.text()), where + "/domain", "is not a name");
            require(isAddress(replica.address), where + "/address",
                    "\"" + replica.address + "\" is not an IP number and port");
            require(replica.slots > 0 && replica.slots <= 4096, where + "/slots", "must be between 1 and 4096");
            require(replica.batchSize > 0 && replica.batchSize <= 4096, where + "/batch", "must be between 1 and 4096");
            const auto kind = m_pools.emplace(replica.pool, replica.isEngine);
            require(kind.first->second == replica.isEngine, where + "/engine",
                    "pool \"" + replica.pool.text() + "\" contains both engines and plain services");
        }
    }

    void checkAdapters()
    {
        for (size_t i = 0; i < m_document.adapters.size(); ++i) {
            const Adapter &adapter = m_document.adapters[i];
            const std::string where = "/adapters/" + std::to_string(i);
            require(isAdapterRef(adapter.ref.text()), where + "/adapter",
                    "\"" + adapter.ref.text() + "\" is not name@version");
            require(m_adapters.emplace(adapter.ref, &adapter).second, where + "/adapter",
                    "\"" + adapter.ref.text() + "\" is defined twice");
            requireTeam(adapter.team, where + "/team");
            const auto pool = m_pools.find(adapter.pool);
            require(pool != m_pools.end() && pool->second, where + "/pool",
                    "pool \"" + adapter.pool.text() + "\" does not exist or has no engines");
        }
    }

    void checkKeys()
    {
        std::set<KeyId> seen;
        std::set<std::string> hashes;
        for (size_t i = 0; i < m_document.keys.size(); ++i) {
            const ApiKey &key = m_document.keys[i];
            const std::string where = "/keys/" + std::to_string(i);
            requireUniqueName(key.id, seen, where + "/id");
            requireTeam(key.team, where + "/team");
            require(key.hash.size() == sha256HexLength && std::all_of(key.hash.begin(), key.hash.end(), ::isxdigit),
                    where + "/hash", "is not a SHA-256 digest");
            require(hashes.insert(key.hash).second, where + "/hash", "is the same as another key's");
        }
    }

    void checkRoutes()
    {
        std::set<RouteName> seen;
        for (size_t i = 0; i < m_document.routes.size(); ++i) {
            const Route &route = m_document.routes[i];
            const std::string where = "/routes/" + std::to_string(i);
            requireUniqueName(route.name, seen, where + "/name");
            require(route.adapter.isEmpty() != route.pool.isEmpty(), where, "must have either an adapter or a pool");
            require(route.isOpen || !route.teams.empty(), where + "/teams",
                    "must not be empty unless the route is open");
            require(route.priority == "interactive" || route.priority == "batch", where + "/class",
                    "must be interactive or batch");
            for (const TeamId &team : route.teams) {
                requireTeam(team, where + "/teams");
            }
            if (route.adapter.isEmpty()) {
                const auto pool = m_pools.find(route.pool);
                require(pool != m_pools.end() && !pool->second, where + "/pool",
                        "pool \"" + route.pool.text() + "\" does not exist or has no plain services");
            } else {
                checkRouteAdapter(route, where);
            }
        }
    }

    void checkRouteAdapter(const Route &route, const std::string &where)
    {
        const auto adapter = m_adapters.find(route.adapter);
        require(adapter != m_adapters.end(), where + "/adapter",
                "adapter \"" + route.adapter.text() + "\" does not exist");
        require(route.isIdempotent, where + "/idempotent", "must be true for a route to an adapter");
        if (adapter == m_adapters.end()) {
            return;
        }
        for (const TeamId &team : route.teams) {
            require(team == adapter->second->team, where + "/teams",
                    "adapter \"" + route.adapter.text() + "\" belongs to another team");
        }
    }

    const Document &m_document;
    std::vector<Problem> m_problems;
    std::set<TeamId> m_teams;
    std::map<PoolId, bool> m_pools; // whether the pool consists of engines
    std::map<AdapterRef, const Adapter *> m_adapters;
};

}

std::vector<Problem> validate(const Document &document)
{
    return DocumentValidator(document).check();
}

std::vector<Problem> validateChange(const Document &before, const Document &after)
{
    std::map<AdapterRef, const Adapter *> accepted;
    for (const Adapter &adapter : before.adapters) {
        accepted.emplace(adapter.ref, &adapter);
    }
    std::vector<Problem> problems;
    for (size_t i = 0; i < after.adapters.size(); ++i) {
        const auto old = accepted.find(after.adapters[i].ref);
        if (old != accepted.end() && !(*old->second == after.adapters[i])) {
            problems.push_back(
                {"/adapters/" + std::to_string(i),
                 "version \"" + after.adapters[i].ref.text() + "\" was already accepted with another team or pool"});
        }
    }
    return problems;
}

}
