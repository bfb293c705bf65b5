#ifndef ROSEARCH_PLATFORM_LOG_CLIENT_H_
#define ROSEARCH_PLATFORM_LOG_CLIENT_H_

#include <cstdint>
#include <string>
#include <vector>

#include "rosearch/platform/http_client.h"
#include "rosearch/platform/ports.h"

namespace rosearch {

/// The platform's log over HTTP.
class log_client {
 public:
  /// @param http     must outlive this object.
  /// @param address  host:port of the log.
  log_client(http_client& http, std::string address);

  /// Appends all records at once, in order, or none.
  /// @param deadline  nothing is sent past it, and no answer is awaited past it.
  /// @param done      receives the offset of the first record. An error's effect in the table of
  ///                  core/error.h says whether the append may have taken effect: `kLogUnavailable`
  ///                  may have, every kind with the effect "not run" has not.
  void Append(const std::string& stream, const std::vector<std::string>& records,
              time_point deadline, append_callback done);

  /// Reads records from an offset on.
  /// @param max   how many records at most.
  /// @param wait  how long the log holds the answer back while there is no record at `from`.
  /// @param done  receives the records, or `kLogUnavailable`.
  void Read(const std::string& stream, std::uint64_t from, std::uint32_t max, duration wait,
            log_read_callback done);

  /// @return what its requests have cost so far.
  [[nodiscard]] const http_traffic& traffic() const noexcept { return traffic_; }

 private:
  http_client& http_;
  std::string address_;
  http_traffic traffic_;
};

static_assert(log_port<log_client>);

}  // namespace rosearch

#endif  // ROSEARCH_PLATFORM_LOG_CLIENT_H_
