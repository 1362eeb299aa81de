#include "tests/loadtool/sampledocument.h"

#include "core/hash.h"

namespace vanillaspar
{

DeploymentShape DeploymentShape::klangnett()
{
    return {};
}

DeploymentShape DeploymentShape::curtainFirm()
{
    DeploymentShape shape;
    shape.domains = 4;
    shape.engines = 12;
    shape.services = 4;
    shape.store = {3, 2};
    return shape;
}

std::string sampleTeam(int index)
{
    return "team-" + std::to_string(index);
}

std::string sampleSecret(int index)
{
    return "sample-secret-" + std::to_string(index);
}

std::string sampleAdapter(int index)
{
    return "adapter-" + std::to_string(index) + "@1";
}

int teamOfAdapter(const DeploymentShape &shape, int adapter)
{
    // The first two teams are large and share three quarters of the adapters.
    const int slot = adapter % 8;
    return slot < 3 ? 0 : (slot < 6 ? 1 : 2 + adapter % (shape.teams - 2));
}

Document sampleDocument(const DeploymentShape &shape)
{
    Document document;
    document.weightStore = shape.store;
    Route booking;
    booking.name = RouteName("booking");
    booking.pool = PoolId("booking");
    booking.isIdempotent = false;
    Route stock = booking;
    stock.name = RouteName("stock");
    stock.isIdempotent = true;
    for (int i = 0; i < shape.teams; ++i) {
        const TeamId team(sampleTeam(i));
        const int64_t rate = i < 2 ? 60'000 : 20'000;
        document.teams.push_back({team, Tokens(rate), Tokens(rate * 2)});
        document.keys.push_back({KeyId(sampleTeam(i) + "-key"), team, sha256Hex(sampleSecret(i))});
        booking.teams.push_back(team);
        stock.teams.push_back(team);
    }
    for (int i = 0; i < shape.engines; ++i) {
        const DomainId domain("domain-" + std::to_string(i % shape.domains));
        document.replicas.push_back({ReplicaId("draft-" + std::to_string(i)), PoolId("draft"), domain,
                                     "127.0.0.1:" + std::to_string(shape.enginePort + i), true,
                                     shape.mixesFencing && i % 2 == 0, shape.slots, shape.batch});
    }
    for (int i = 0; i < shape.services; ++i) {
        const DomainId domain("domain-" + std::to_string(i % shape.domains));
        document.replicas.push_back({ReplicaId("book-" + std::to_string(i)), PoolId("booking"), domain,
                                     "127.0.0.1:" + std::to_string(shape.servicePort + i), false, false, 1, 64});
    }
    for (int i = 0; i < shape.adapters; ++i) {
        document.adapters.push_back(
            {AdapterRef(sampleAdapter(i)), TeamId(sampleTeam(teamOfAdapter(shape, i))), PoolId("draft")});
    }
    Route enquiry;
    enquiry.name = RouteName("enquiry");
    enquiry.teams = {TeamId(sampleTeam(0))};
    enquiry.adapter = AdapterRef(sampleAdapter(0));
    Route publicDesk;
    publicDesk.name = RouteName("public");
    publicDesk.isOpen = true;
    publicDesk.adapter = AdapterRef(sampleAdapter(1));
    document.routes = {booking, stock, enquiry, publicDesk};
    return document;
}

}
