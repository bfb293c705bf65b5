#ifndef ROSEARCH_NET_INTERNAL_REQUEST_READER_H_
#define ROSEARCH_NET_INTERNAL_REQUEST_READER_H_

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <cstddef>
#include <cstdint>

#include "rosearch/net/growing_body.h"
#include "rosearch/net/http_call.h"

namespace rosearch::internal {

/// Limits of one request.
struct request_limits {
  std::uint32_t head_bytes{0};  ///< also of what frames a chunked body, beyond its chunks' sizes
  std::size_t body_bytes{0};

  friend bool operator==(const request_limits&, const request_limits&) = default;
};

/// What became of the bytes that a `request_reader` was given.
enum class read_progress : std::uint8_t {
  kNeedsMore,
  kHead,   ///< the head has just become whole
  kWhole,  ///< the request is
  kHeadTooLarge,
  kBodyTooLarge,
  kFramingTooLarge,  ///< chunk extensions or trailers
  kMalformed,
};

/// Reads one request from bytes as they arrive, without a connection. All that it keeps is bounded:
/// the head, the body, and what frames it, of which a chunked body may have any amount.
class request_reader {
 public:
  explicit request_reader(const request_limits& limits);

  /// Consumes what it can.
  [[nodiscard]] read_progress Read(boost::beast::flat_buffer& buffer);

  /// @return whether the client waits for leave to send the body. Call after `kHead`.
  [[nodiscard]] bool ExpectsContinue() const { return expects_continue_; }
  /// @return whether the client keeps the connection open after the answer. Call after `kHead`.
  [[nodiscard]] bool KeepsAlive() const { return parser_.keep_alive(); }
  /// @return bytes of the head and body as they are kept.
  [[nodiscard]] std::size_t HeldBytes() const;
  /// @return bytes of the body as they are kept.
  [[nodiscard]] std::size_t BodyBytes() const { return parser_.get().body().capacity(); }

  /// @return the request. Call once, after `kWhole`.
  [[nodiscard]] http_call TakeCall();

 private:
  using parser = boost::beast::http::request_parser<growing_body>;

  [[nodiscard]] read_progress AfterPut(const boost::beast::error_code& failed,
                                       std::size_t unread) const;
  [[nodiscard]] bool HasTooMuchFraming() const;
  /// Copies the head, so that no trailer can change it.
  void TakeHead();

  request_limits limits_;
  parser parser_;
  http_call call_;
  std::size_t head_cost_{0};
  std::size_t framing_bytes_{0};
  bool expects_continue_{false};
};

}  // namespace rosearch::internal

#endif  // ROSEARCH_NET_INTERNAL_REQUEST_READER_H_
