#ifndef ROSEARCH_NET_INTERNAL_HTTP_SESSION_H_
#define ROSEARCH_NET_INTERNAL_HTTP_SESSION_H_

#include <atomic>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/error.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <vector>

#include "rosearch/net/client_memory.h"
#include "rosearch/net/http_call.h"
#include "rosearch/net/http_server.h"
#include "rosearch/net/internal/request_reader.h"

namespace rosearch::internal {

class http_session;

/// What the connections of one server share. Thread-safe.
class server_state {
 public:
  server_state(http_server_settings settings, http_handler handler,
               std::shared_ptr<client_memory> memory);

  /// @return the limits in force now.
  [[nodiscard]] http_server_settings Settings() const;
  void SetLimits(std::uint32_t max_header_bytes, std::size_t max_body_bytes,
                 std::chrono::milliseconds header_timeout, std::chrono::milliseconds idle);

  /// Adds a connection.
  /// @param beyond  connections beyond `max_connections`, while others are being closed for them.
  /// @return whether there is room for it.
  [[nodiscard]] bool Add(const std::shared_ptr<http_session>& made, std::size_t beyond);
  void Remove(http_session* gone);
  [[nodiscard]] std::size_t Count() const;
  /// The last holder of a session takes the lock as it goes, so nobody may hold both.
  [[nodiscard]] std::vector<std::shared_ptr<http_session>> Sessions() const;

  const http_handler handler;
  const std::shared_ptr<client_memory> memory;
  std::atomic<bool> draining{false};
  std::atomic<bool> letting_go{false};
  std::atomic<std::size_t> busy{0};

 private:
  mutable std::mutex mutex_;
  http_server_settings settings_;
  std::map<http_session*, std::weak_ptr<http_session>> sessions_;
};

/// One connection of a client, from the first byte to the closed socket.
class http_session : public std::enable_shared_from_this<http_session> {
 public:
  http_session(std::shared_ptr<server_state> server, boost::asio::ip::tcp::socket socket);
  ~http_session();
  http_session(const http_session&) = delete;
  http_session& operator=(const http_session&) = delete;

  /// Begins to read.
  void Start();

  /// Gives a request that may be on its way a little time, where none has begun.
  void EndSoon();

 private:
  enum class phase : std::uint8_t {
    kIdle,       ///< waits for the first byte of a request
    kArriving,   ///< reads a request
    kCalled,     ///< waits for the answer of the handler
    kAnswering,  ///< writes the answer
    kFinished,   ///< has written its last answer
  };

  void Read();
  void ReadSome();
  void OnRead(boost::beast::error_code failed, std::size_t count);

  // Head and body have a bound each: a client that sends a byte now and then would otherwise keep
  // its connection, and enough of them all connections that the server has.
  void BeginRequest();
  void Parse();
  void ReadMore();
  void OnHead();

  /// A client that asks before it sends a body waits for this.
  void Continue();
  void OnWhole();
  void Answer(http_response response);
  void Write(http_response response);
  void OnWritten(boost::beast::error_code failed);

  /// Counts and answers a client whose request isn't handled, and lets it go.
  void Refuse(client_refusal reason);
  /// As above, for a refusal that the account has counted.
  void WriteRefusal(client_refusal reason);

  /// Gives back what this connection holds, as the memory for clients is full.
  void Shed();
  void EndShed();

  /// Ends the answer and takes in what the client still sends, up to a bound. Closing with bytes
  /// unread resets the connection, and the reset destroys the answer at a client that has not
  /// read it: one that sent too large a body would never learn so.
  void Linger();
  void LingerOn(std::size_t left);
  void Close();
  [[nodiscard]] std::size_t CountBytes() const;

  /// @return false if this connection is to go.
  [[nodiscard]] bool HoldBytes();
  static client_memory::time_point SteadyNow();

  std::shared_ptr<server_state> server_;
  http_server_settings limits_;  ///< of the request at hand
  boost::beast::tcp_stream stream_;
  /// Unread bytes: the reader refuses more than a head, and one read adds little.
  boost::beast::flat_buffer buffer_;
  std::optional<client_memory::share> share_;
  std::optional<request_reader> reader_;
  std::optional<boost::beast::http::response<boost::beast::http::string_body>> response_;
  client_memory::time_point began_at_{};  ///< the request at hand, or the wait for it
  std::size_t next_read_{0};              ///< bytes
  phase phase_{phase::kIdle};
  bool keep_alive_{false};
  bool is_query_{false};  ///< the request at hand has no effect
  bool shed_{false};      ///< it is to go as soon as the operation under way has ended
  bool refused_{false};   ///< its last answer is a refusal of this server
};

}  // namespace rosearch::internal

#endif  // ROSEARCH_NET_INTERNAL_HTTP_SESSION_H_
