#pragma once

#include <string>

namespace vanillaspar
{

/** @throws DocumentError if the cluster's secret is too short. */
void checkSecret(const std::string &secret);
/** @throws DocumentError if the log's format is unknown. */
void checkLogFormat(const std::string &format);

}
