#pragma once

#include <string>

namespace vanillaspar::serving
{

// Weights are named "model" for a base model or "model/adapter", in requests and in stored records.

/** @return the name of the base model. */
std::string modelOf(const std::string &weights);
/** @return the name of the adapter; empty for a base model. */
std::string adapterOf(const std::string &weights);

}
