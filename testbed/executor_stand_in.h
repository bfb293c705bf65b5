#ifndef ROSEARCH_TESTBED_EXECUTOR_STAND_IN_H_
#define ROSEARCH_TESTBED_EXECUTOR_STAND_IN_H_

#include <cstdint>
#include <map>
#include <string>

#include "testbed/fault.h"
#include "testbed/http_server.h"

namespace rosearch::testbed {

/// An executor with a fixed number of slots.
///   POST any path runs a request for the time in the header `x-run-ms` or the JSON field
///   `run_ms` of its body, and echoes {"request", "path", "body"}; beyond the
///   slots it answers 429 with the header that says that it did not run.
///   GET /stats, GET /runs: {"runs": {request id: how often}}
class executor_stand_in {
 public:
  executor_stand_in(boost::asio::io_context& io, const fault_settings& fault, std::uint64_t slots);

  void Handle(const server_request& request, respond_function respond);

  /// @return {"runs", "refused", "running", "running_peak", "repeated"}; repeated counts runs of an
  /// id
  ///         that had run before.
  [[nodiscard]] std::string Stats() const;

 private:
  void Run(const server_request& request, respond_function respond);
  [[nodiscard]] std::string Runs() const;

  boost::asio::io_context& io_;
  const fault_settings& fault_;
  const std::uint64_t slots_;
  std::map<std::string, std::uint64_t> runs_;
  std::uint64_t ran_{0};
  std::uint64_t refused_{0};
  std::uint64_t running_{0};
  std::uint64_t running_peak_{0};
};

}  // namespace rosearch::testbed

#endif  // ROSEARCH_TESTBED_EXECUTOR_STAND_IN_H_
