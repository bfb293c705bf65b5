#ifndef ROSEARCH_NET_HTTP_SERVER_H_
#define ROSEARCH_NET_HTTP_SERVER_H_

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

#include "rosearch/net/client_memory.h"
#include "rosearch/net/http_call.h"

namespace rosearch {

/// Limits of an HTTP server: a slow or broken client costs only its own connection.
struct http_server_settings {
  std::string host{"127.0.0.1"};
  std::uint16_t port{0};  ///< 0: a free one
  std::size_t max_body_bytes{1U << 20U};
  std::uint32_t max_header_bytes{16U << 10U};
  std::size_t max_connections{2000};
  /// A connection that begins no request for so long is closed.
  std::chrono::milliseconds idle{std::chrono::seconds{60}};
  /// A request's head that is not whole so long after its first byte is given up.
  std::chrono::milliseconds header_timeout{std::chrono::seconds{5}};
  /// A request's body that is not whole so long after its head is given up.
  std::chrono::milliseconds body_timeout{std::chrono::seconds{10}};
  /// A client that takes in no bytes for so long is cut off.
  std::chrono::milliseconds write{std::chrono::seconds{30}};
  /// Once draining, a connection without a request is closed after this: a request that its client
  /// sent at that moment is still on its way.
  std::chrono::milliseconds drain_idle{500};
  /// What the kernel receives for a connection before it is read, in bytes; 0: the system's
  /// default.
  int receive_buffer_bytes{16 << 10};
  /// After the last answer of a connection, what its client still sends is read for so long.
  std::chrono::milliseconds linger{std::chrono::seconds{1}};
};

/// Of the memory for clients, where a server has none that it shares with others.
inline constexpr std::size_t kDefaultClientMemoryBytes = std::size_t{64} << 20U;

/// An HTTP/1.1 server with keep-alive. A new connection beyond `max_connections` takes the place of
/// the one that is worth least. A client that can't be served is told so at once: 503 with when to
/// come back, 413, 431.
class http_server {
 public:
  /// Binds and begins to accept.
  /// @param memory  what all clients of the process together may make it hold.
  /// @throws boost::system::system_error where the address can't be bound.
  http_server(boost::asio::io_context& io, http_server_settings settings, http_handler handler,
              std::shared_ptr<client_memory> memory =
                  std::make_shared<client_memory>(kDefaultClientMemoryBytes));
  ~http_server();
  http_server(const http_server&) = delete;
  http_server& operator=(const http_server&) = delete;

  /// @return the port that is bound.
  [[nodiscard]] std::uint16_t port() const noexcept;

  /// Puts other limits in force for requests that begin from now on.
  void SetLimits(std::uint32_t max_header_bytes, std::size_t max_body_bytes,
                 std::chrono::milliseconds header_timeout, std::chrono::milliseconds idle);

  /// Tells each client with its next answer that the connection ends there, so that none is kept
  /// open when `Drain` comes.
  void LetGo();

  /// Accepts no more connections; requests that were sent are answered, then connections end.
  void Drain();

  /// @return connections that have a call under way; once draining, all open connections.
  [[nodiscard]] std::size_t Busy() const;

 private:
  class impl;
  std::shared_ptr<impl> impl_;
};

}  // namespace rosearch

#endif  // ROSEARCH_NET_HTTP_SERVER_H_
