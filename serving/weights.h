#pragma once

#include <string>

namespace vanillaspar::serving
{

// Weights are named "model" or "model/adapter", by callers and in all records.

/** @return the base model. */
std::string modelOf(const std::string &weights);
/** @return the adapter; empty for a base model by itself. */
std::string adapterOf(const std::string &weights);

}
