#ifndef ROSEARCH_PLATFORM_HTTP_CLIENT_H_
#define ROSEARCH_PLATFORM_HTTP_CLIENT_H_

#include <atomic>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "rosearch/core/result.h"
#include "rosearch/core/time.h"

namespace boost::asio {
class io_context;
}  // namespace boost::asio

namespace rosearch {

/// One header field of a request or an answer.
struct http_header {
  std::string name;
  std::string value;

  friend bool operator==(const http_header&, const http_header&) = default;
};

/// @return the value of the first field of that name, compared without regard to case; empty where
///         there is none.
[[nodiscard]] std::string_view FindHeader(const std::vector<http_header>& headers,
                                          std::string_view name) noexcept;

/// Requests and bytes, heads included, that one user of an `http_client` has caused. Bytes of TCP
/// and IP are not in it.
struct http_traffic {
  std::atomic<std::uint64_t> requests{0};
  std::atomic<std::uint64_t> bytes_sent{0};
  std::atomic<std::uint64_t> bytes_received{0};
};

/// One HTTP request and the deadlines that bind it.
struct http_request {
  std::string address;  ///< host:port, the host as an IP number
  std::string method{"GET"};
  std::string target{"/"};
  std::string body{};
  std::string content_type{};
  std::vector<http_header> headers{};
  /// Past this moment not one byte may be written.
  time_point valid_until{kNever};
  /// The moment by which the whole answer must be here.
  time_point answer_by{kNever};
  std::size_t max_answer_bytes{std::size_t{16} << 20};
  /// Whether it may be sent a second time where a kept connection broke before any answer.
  bool idempotent{false};
  /// Whether to make a connection for it beyond all limits, though others are kept: those may have
  /// gone silent, and all that are allowed may be waiting for answers that never come.
  bool fresh_connection{false};
  /// Counts this request where it is set; must outlive it.
  http_traffic* traffic{nullptr};

  friend bool operator==(const http_request&, const http_request&) = default;
};

/// A whole answer, whatever its status.
struct http_reply {
  unsigned status{0};
  std::string body{};
  std::vector<http_header> headers{};

  friend bool operator==(const http_reply&, const http_reply&) = default;
};

/// Settings of an `http_client`.
struct http_options {
  std::size_t connections_per_address{60};
  duration connect_timeout{std::chrono::seconds{1}};
  /// A connection idle for longer is not used again: the server may be closing it at this moment.
  duration idle_limit{std::chrono::seconds{15}};

  friend bool operator==(const http_options&, const http_options&) = default;
};

/// How long written bytes may wait unacknowledged in the kernel (TCP_USER_TIMEOUT).
/// Without a bound the kernel would deliver a start minutes after the right to send it lapsed, once
/// a cut network heals, and a task could run in two places. Whoever takes over a shard adds this
/// span to the last moment at which the former owner could have written.
inline constexpr duration kWrittenBytesLinger = std::chrono::seconds{2};

/// @return whether an exchange that failed so is certain to have reached nobody.
[[nodiscard]] bool WasNotSent(const error& failed) noexcept;

using http_callback = std::function<void(result<http_reply>)>;

/// An HTTP/1.1 client that keeps connections open and shares them. Safe to call from any thread.
class http_client {
 public:
  /// @param io       runs all work and all callbacks; must outlive the client.
  /// @param options  limits that hold for each address alike.
  explicit http_client(boost::asio::io_context& io, const http_options& options = {});
  ~http_client();
  http_client(const http_client&) = delete;
  http_client& operator=(const http_client&) = delete;

  /// Sends a request. The callback runs once on a thread of the io_context, never inside this call;
  /// requests in flight when the client is destroyed still end.
  ///
  /// Errors where nothing was sent: `kNoOwner` (`valid_until` passed), `kDeadlinePassed`
  /// (`answer_by` passed), `kTargetUnreachable` (no connection). Errors after the first byte:
  /// `kTargetLost` (the connection broke, or the answer was malformed or too large), `kTimeout` (no
  /// whole answer in time).
  void Send(http_request request, http_callback done);

 private:
  class impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace rosearch

#endif  // ROSEARCH_PLATFORM_HTTP_CLIENT_H_
