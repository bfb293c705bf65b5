#ifndef ROSEARCH_TESTBED_HTTP_SERVER_H_
#define ROSEARCH_TESTBED_HTTP_SERVER_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "rosearch/platform/http_client.h"

namespace rosearch::testbed {

/// A request as a stand-in sees it.
struct server_request {
  std::string method;
  std::string path;                          ///< without the query
  std::map<std::string, std::string> query;  ///< as written, not unescaped
  std::vector<http_header> headers;
  std::string body;

  /// @return the number of that name in the query, or `otherwise` where there is none.
  [[nodiscard]] std::uint64_t Number(const std::string& name, std::uint64_t otherwise) const;
};

/// How an answer goes out.
enum class delivery {
  kWhole,
  kChunked,       ///< in several chunks
  kAfterInterim,  ///< after an interim answer
  kPartial,       ///< cut off midway, then the connection is closed
  kDropped,       ///< none: the connection is closed
};

struct server_reply {
  unsigned status{200};
  std::string body{"{}"};
  std::vector<http_header> headers{};
  delivery how{delivery::kWhole};
};

using respond_function = std::function<void(server_reply)>;
using request_handler = std::function<void(const server_request&, respond_function)>;

/// An HTTP/1.1 server on 127.0.0.1. Handler and server run on the one thread of the io_context; a
/// handler may answer later, once.
class http_server {
 public:
  /// @param port  0 picks a free port.
  /// @throws boost::system::system_error where the port can't be bound.
  http_server(boost::asio::io_context& io, std::uint16_t port, request_handler handler);
  ~http_server();
  http_server(const http_server&) = delete;
  http_server& operator=(const http_server&) = delete;

  /// @return the port that is bound.
  [[nodiscard]] std::uint16_t port() const noexcept;

 private:
  class impl;
  std::shared_ptr<impl> impl_;
};

/// Runs `function` on the io_context after a while.
void After(boost::asio::io_context& io, std::chrono::milliseconds span,
           std::function<void()> function);

}  // namespace rosearch::testbed

#endif  // ROSEARCH_TESTBED_HTTP_SERVER_H_
