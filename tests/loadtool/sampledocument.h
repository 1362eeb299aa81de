#pragma once

#include "config/document.h"

#include <string>

namespace vanillaspar
{

/** The shape of a deployment: how many of everything. */
struct DeploymentShape
{
    int domains = 3;
    int engines = 20;
    int services = 3;
    int adapters = 3000;
    int teams = 5;
    int slots = 32;
    int batch = 16;
    WeightStoreLimits store {7, 3};
    int enginePort = 9100;
    int servicePort = 9300;
    bool mixesFencing = true; ///< Every other engine checks fencing numbers.

    static DeploymentShape klangnett();
    static DeploymentShape curtainFirm();
};

/** @return a valid document of that shape; team i's key is sampleSecret(i). */
Document sampleDocument(const DeploymentShape &shape);
std::string sampleTeam(int index);
std::string sampleSecret(int index);
/** @return the adapter's reference; adapters are dealt to the teams, larger teams get more. */
std::string sampleAdapter(int index);
/** @return the team that owns the adapter. */
int teamOfAdapter(const DeploymentShape &shape, int adapter);

}
