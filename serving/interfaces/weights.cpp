#include "serving/interfaces/weights.h"

namespace vanillaspar::serving
{

std::string modelOf(const std::string &weights)
{
    return weights.substr(0, weights.find('/'));
}

std::string adapterOf(const std::string &weights)
{
    const size_t slash = weights.find('/');
    return slash == std::string::npos ? std::string() : weights.substr(slash + 1);
}

}
