#ifndef ROSEARCH_TESTBED_STAND_IN_H_
#define ROSEARCH_TESTBED_STAND_IN_H_

#include <concepts>
#include <cstdint>
#include <string>
#include <utility>

#include "testbed/fault.h"
#include "testbed/http_server.h"

namespace rosearch::testbed {

/// What a stand-in adds to the common server: its own requests, and counters as JSON.
template <typename Logic>
concept stand_in_logic = requires(Logic logic, const server_request& request,
                                  respond_function respond) {
  logic.Handle(request, respond);
  { logic.Stats() } -> std::same_as<std::string>;
};

namespace internal {

/// Applies the faults of a stand-in to the answers on their way out.
class fault_gate {
 public:
  explicit fault_gate(boost::asio::io_context& io) : io_{io} {}

  [[nodiscard]] const fault_settings& fault() const noexcept { return fault_; }

  /// Answers `POST /fault`.
  void Set(const server_request& request, const respond_function& respond);

  /// @return a function that answers as the faults in force at this moment say.
  [[nodiscard]] respond_function Wrap(respond_function respond);

 private:
  boost::asio::io_context& io_;
  fault_settings fault_;
};

}  // namespace internal

/// A stand-in behind its HTTP server: common requests, faults, and the logic's own requests.
template <stand_in_logic Logic>
class stand_in {
 public:
  /// @param io    run by one thread only; must outlive the stand-in.
  /// @param port  0 picks a free port.
  /// @param args  further arguments of the logic's constructor.
  template <typename... Args>
  stand_in(boost::asio::io_context& io, std::uint16_t port, Args&&... args)
      : gate_{io},
        logic_{io, gate_.fault(), std::forward<Args>(args)...},
        server_{io, port, [this](const server_request& request, respond_function respond) {
                  Handle(request, std::move(respond));
                }} {}

  [[nodiscard]] std::uint16_t port() const noexcept { return server_.port(); }

 private:
  void Handle(const server_request& request, respond_function respond) {
    if (request.path == "/fault") {
      gate_.Set(request, respond);
    } else if (request.path == "/stats") {
      respond({.body = logic_.Stats()});
    } else if (gate_.fault().down) {
      respond({.how = delivery::kDropped});
    } else {
      logic_.Handle(request, gate_.Wrap(std::move(respond)));
    }
  }

  internal::fault_gate gate_;
  Logic logic_;
  http_server server_;
};

/// @return an answer for a path or method that the stand-in does not have.
[[nodiscard]] inline server_reply NotFound() { return {.status = 404, .body = "no such path"}; }

/// @return an answer for a body that can't be read.
[[nodiscard]] inline server_reply BadRequest(std::string detail) {
  return {.status = 400, .body = std::move(detail)};
}

}  // namespace rosearch::testbed

#endif  // ROSEARCH_TESTBED_STAND_IN_H_
