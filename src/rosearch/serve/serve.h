#ifndef ROSEARCH_SERVE_SERVE_H_
#define ROSEARCH_SERVE_SERVE_H_

#include <string>

#include "rosearch/config/settings.h"
#include "rosearch/core/id.h"

namespace rosearch {

/// Runs an entry until SIGTERM or SIGINT and its planned stop.
/// @param settings     checked settings.
/// @param incarnation  the instance of this VM as the platform's list shows it.
/// @param port_file    where the ports that were bound are written, a line each, that of HTTP
/// first;
///   empty: nowhere.
/// @return the exit code: 0 after a planned stop, 3 where the log has forgotten more than this
///   process had read and a new one has to begin afresh, 4 where the stop ran out of time.
[[nodiscard]] int Serve(const config::settings& settings, incarnation_number incarnation,
                        const std::string& port_file);

}  // namespace rosearch

#endif  // ROSEARCH_SERVE_SERVE_H_
