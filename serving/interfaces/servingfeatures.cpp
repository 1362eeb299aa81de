#include "serving/interfaces/servingfeatures.h"

#include "core/error.h"

#include <map>
#include <sstream>

namespace vanillaspar::serving
{

ServingFeatures ServingFeatures::fromNames(const std::string &names)
{
    static const std::map<std::string, bool ServingFeatures::*> members {
        {"learned-capacity", &ServingFeatures::learnedCapacity},
        {"overload-control", &ServingFeatures::overloadControl},
        {"adapter-placement", &ServingFeatures::adapterPlacement},
        {"record-relay", &ServingFeatures::recordRelay},
    };
    ServingFeatures features;
    std::istringstream list(names);
    for (std::string name; std::getline(list, name, ',');) {
        const auto member = members.find(name);
        if (member == members.end()) {
            throw DocumentError("unknown feature: " + name);
        }
        features.*member->second = true;
    }
    return features;
}

}
