#include "testbed/http_server.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <charconv>
#include <optional>
#include <sstream>
#include <string_view>
#include <utility>

namespace rosearch::testbed {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;

constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);
/// A longer request is cut off while it is still being written.
constexpr std::size_t kMaxRequestBytes = std::size_t{16} << 20;
constexpr std::size_t kChunkBytes = 7;
constexpr std::chrono::milliseconds kAcceptPause{10};

std::map<std::string, std::string> ParseQuery(std::string_view text) {
  std::map<std::string, std::string> query;
  while (!text.empty()) {
    const auto pair = text.substr(0, text.find('&'));
    const auto equals = std::min(pair.find('='), pair.size());
    const auto value = equals < pair.size() ? pair.substr(equals + 1) : std::string_view{};
    query.emplace(pair.substr(0, equals), value);
    text.remove_prefix(std::min(pair.size() + 1, text.size()));
  }
  return query;
}

server_request FromBeast(http::request<http::string_body>&& message) {
  server_request request;
  request.method = std::string{message.method_string()};
  const std::string_view target{message.target().data(), message.target().size()};
  const auto mark = std::min(target.find('?'), target.size());
  request.path = std::string{target.substr(0, mark)};
  request.query = ParseQuery(target.substr(std::min(mark + 1, target.size())));
  for (const auto& field : message) {
    request.headers.push_back({std::string{field.name_string()}, std::string{field.value()}});
  }
  request.body = std::move(message.body());
  return request;
}

http::response<http::string_body> ToBeast(const server_reply& reply, bool keep_alive) {
  http::response<http::string_body> message;
  message.version(11);
  message.result(reply.status);
  message.set(http::field::content_type, "application/json");
  for (const auto& header : reply.headers) {
    message.insert(header.name, header.value);
  }
  message.keep_alive(keep_alive);
  return message;
}

/// @return the bytes of the answer as they go over the wire.
std::string Serialize(const server_reply& reply, bool keep_alive) {
  auto message = ToBeast(reply, keep_alive);
  std::ostringstream out;
  if (reply.how == delivery::kAfterInterim) {
    out << "HTTP/1.1 100 Continue\r\n\r\n";
  }
  if (reply.how != delivery::kChunked) {
    message.body() = reply.body;
    message.prepare_payload();
    out << message;
    return out.str();
  }
  message.chunked(true);
  out << message.base();
  for (std::size_t at = 0; at < reply.body.size(); at += kChunkBytes) {
    const auto chunk = reply.body.substr(at, kChunkBytes);
    out << std::hex << chunk.size() << "\r\n" << chunk << "\r\n";
  }
  out << "0\r\n\r\n";
  return out.str();
}

/// Where a handler leaves its answer for the session that waits for it.
struct pending_reply {
  explicit pending_reply(asio::io_context& io) : ready{io, asio::steady_timer::time_point::max()} {}

  asio::steady_timer ready;
  std::optional<server_reply> reply{};
};

}  // namespace

class http_server::impl : public std::enable_shared_from_this<impl> {
 public:
  impl(asio::io_context& io, std::uint16_t port, request_handler handler)
      : io_{io},
        acceptor_{io, tcp::endpoint{asio::ip::address_v4::loopback(), port}},
        handler_{std::move(handler)} {}

  void Start() { asio::co_spawn(io_, Accept(shared_from_this()), asio::detached); }

  void Stop() {
    boost::system::error_code ignored;
    acceptor_.close(ignored);
    handler_ = nullptr;
  }

  [[nodiscard]] std::uint16_t port() const { return acceptor_.local_endpoint().port(); }

 private:
  static asio::awaitable<void> Accept(std::shared_ptr<impl> self) {
    while (self->acceptor_.is_open()) {
      auto [failed, socket] = co_await self->acceptor_.async_accept(kAwait);
      if (failed) {
        // Out of descriptors, say: trying again at once would only burn the processor.
        asio::steady_timer pause{self->io_, kAcceptPause};
        co_await pause.async_wait(kAwait);
        continue;
      }
      asio::co_spawn(self->io_, Serve(self, beast::tcp_stream{std::move(socket)}), asio::detached);
    }
  }

  static asio::awaitable<void> Serve(std::shared_ptr<impl> self, beast::tcp_stream stream) {
    boost::system::error_code ignored;
    stream.socket().set_option(tcp::no_delay{true}, ignored);
    beast::flat_buffer buffer;
    bool open = true;
    while (open) {
      http::request_parser<http::string_body> parser;
      parser.body_limit(kMaxRequestBytes);
      const auto [failed, read] = co_await http::async_read(stream, buffer, parser, kAwait);
      if (failed || self->handler_ == nullptr) {
        co_return;
      }
      const bool keep_alive = parser.keep_alive();
      const auto reply = co_await self->Ask(FromBeast(parser.release()));
      open = co_await Answer(stream, reply, keep_alive);
    }
  }

  asio::awaitable<server_reply> Ask(server_request request) {
    const auto pending = std::make_shared<pending_reply>(io_);
    handler_(request, [pending](server_reply reply) {
      pending->reply = std::move(reply);
      pending->ready.cancel();
    });
    if (!pending->reply) {
      co_await pending->ready.async_wait(kAwait);
    }
    co_return *std::move(pending->reply);
  }

  /// @return whether the connection stays open.
  static asio::awaitable<bool> Answer(beast::tcp_stream& stream, const server_reply& reply,
                                      bool keep_alive) {
    if (reply.how == delivery::kDropped) {
      co_return false;
    }
    auto bytes = Serialize(reply, keep_alive);
    const bool partial = reply.how == delivery::kPartial;
    if (partial) {
      bytes.resize(bytes.size() - reply.body.size() / 2 - 1);
    }
    const auto [failed, written] = co_await asio::async_write(stream, asio::buffer(bytes), kAwait);
    co_return !failed && !partial && keep_alive;
  }

  asio::io_context& io_;
  tcp::acceptor acceptor_;
  request_handler handler_;
};

http_server::http_server(asio::io_context& io, std::uint16_t port, request_handler handler)
    : impl_{std::make_shared<impl>(io, port, std::move(handler))} {
  impl_->Start();
}

http_server::~http_server() { impl_->Stop(); }

std::uint16_t http_server::port() const noexcept { return impl_->port(); }

std::uint64_t server_request::Number(const std::string& name, std::uint64_t otherwise) const {
  const auto found = query.find(name);
  if (found == query.end()) {
    return otherwise;
  }
  std::uint64_t value = otherwise;
  std::from_chars(found->second.data(), found->second.data() + found->second.size(), value);
  return value;
}

void After(asio::io_context& io, std::chrono::milliseconds span, std::function<void()> function) {
  const auto timer = std::make_shared<asio::steady_timer>(io, span);
  timer->async_wait([timer, function = std::move(function)](boost::system::error_code failed) {
    if (!failed) {
      function();
    }
  });
}

}  // namespace rosearch::testbed
