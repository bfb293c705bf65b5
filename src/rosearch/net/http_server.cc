#include "rosearch/net/http_server.h"

#include <atomic>
#include <boost/asio/dispatch.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/strand.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <cctype>
#include <charconv>
#include <mutex>
#include <optional>
#include <set>
#include <string_view>
#include <utility>

namespace rosearch {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;

std::string PercentDecoded(std::string_view text) {
  std::string decoded;
  for (std::size_t at = 0; at < text.size(); ++at) {
    unsigned value = 0;
    if (text[at] == '%' && at + 2 < text.size() &&
        std::from_chars(text.data() + at + 1, text.data() + at + 3, value, 16).ptr ==
            text.data() + at + 3) {
      decoded.push_back(static_cast<char>(value));
      at += 2;
    } else {
      decoded.push_back(text[at] == '+' ? ' ' : text[at]);
    }
  }
  return decoded;
}

std::map<std::string, std::string> QueryOf(std::string_view text) {
  std::map<std::string, std::string> query;
  while (!text.empty()) {
    const auto end = text.find('&');
    const auto pair = text.substr(0, end);
    const auto equals = pair.find('=');
    const auto value = equals == std::string_view::npos ? "" : pair.substr(equals + 1);
    query[PercentDecoded(pair.substr(0, equals))] = PercentDecoded(value);
    text = end == std::string_view::npos ? "" : text.substr(end + 1);
  }
  return query;
}

http_call CallOf(http::request<http::string_body>&& request) {
  http_call call;
  call.method = std::string{request.method_string()};
  const std::string_view target{request.target().data(), request.target().size()};
  const auto mark = target.find('?');
  call.path = PercentDecoded(target.substr(0, mark));
  if (mark != std::string_view::npos) {
    call.query = QueryOf(target.substr(mark + 1));
  }
  for (const auto& field : request) {
    std::string name{field.name_string()};
    for (auto& c : name) {
      c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
    }
    call.headers[std::move(name)] = std::string{field.value()};
  }
  call.body = std::move(request.body());
  return call;
}

}  // namespace

class http_server::impl : public std::enable_shared_from_this<impl> {
 public:
  impl(asio::io_context& io, http_server_settings settings, http_handler handler)
      : io_{io}, settings_{std::move(settings)}, handler_{std::move(handler)}, acceptor_{io} {
    const tcp::endpoint endpoint{asio::ip::make_address(settings_.host), settings_.port};
    acceptor_.open(endpoint.protocol());
    acceptor_.set_option(asio::socket_base::reuse_address{true});
    acceptor_.bind(endpoint);
    acceptor_.listen(asio::socket_base::max_listen_connections);
    port_ = acceptor_.local_endpoint().port();
  }

  void Accept() {
    acceptor_.async_accept(
        asio::make_strand(io_),
        [self = shared_from_this()](beast::error_code failed, tcp::socket socket) {
          if (self->draining_) {
            return;
          }
          if (!failed) {
            self->Begin(std::move(socket));
          }
          self->Accept();
        });
  }

  void Drain() {
    draining_ = true;
    asio::post(io_, [self = shared_from_this()] {
      beast::error_code ignored;
      self->acceptor_.close(ignored);
      const std::scoped_lock lock{self->mutex_};
      for (const auto& item : self->sessions_) {
        if (const auto session = item.second.lock()) {
          session->CloseIfIdle();
        }
      }
    });
  }

  [[nodiscard]] std::uint16_t port() const noexcept { return port_; }
  [[nodiscard]] std::size_t busy() const noexcept { return busy_; }

 private:
  class session : public std::enable_shared_from_this<session> {
   public:
    session(std::shared_ptr<impl> server, tcp::socket socket)
        : server_{std::move(server)}, stream_{std::move(socket)} {
      beast::error_code ignored;
      stream_.socket().set_option(tcp::no_delay{true}, ignored);
    }

    ~session() {
      const std::scoped_lock lock{server_->mutex_};
      server_->sessions_.erase(this);
    }

    session(const session&) = delete;
    session& operator=(const session&) = delete;

    void Start() {
      asio::dispatch(stream_.get_executor(), [self = shared_from_this()] { self->Read(); });
    }

    void CloseIfIdle() {
      asio::post(stream_.get_executor(), [self = shared_from_this()] {
        if (!self->in_call_) {
          self->Close();
        }
      });
    }

   private:
    void Read() {
      if (server_->draining_) {
        Close();
        return;
      }
      parser_.emplace();
      parser_->body_limit(server_->settings_.max_body_bytes);
      parser_->header_limit(server_->settings_.max_header_bytes);
      stream_.expires_after(server_->settings_.idle);
      http::async_read(stream_, buffer_, *parser_,
                       [self = shared_from_this()](beast::error_code failed, std::size_t) {
                         self->OnRead(failed);
                       });
    }

    void OnRead(beast::error_code failed) {
      if (failed == http::error::body_limit || failed == http::error::header_limit) {
        keep_alive_ = false;
        const unsigned status = failed == http::error::body_limit ? 413 : 431;
        Write({status,
               R"({"error":{"kind":"invalid_request","outcome":"not_run","detail":"too large"}})"});
        return;
      }
      if (failed) {
        Close();
        return;
      }
      keep_alive_ = parser_->get().keep_alive();
      in_call_ = true;
      ++server_->busy_;
      auto respond = [self = shared_from_this(),
                      once = std::make_shared<std::atomic_flag>()](http_response response) {
        if (once->test_and_set()) {
          return;
        }
        asio::post(self->stream_.get_executor(), [self, response = std::move(response)]() mutable {
          self->Write(std::move(response));
        });
      };
      stream_.expires_never();
      server_->handler_(CallOf(parser_->release()), std::move(respond));
    }

    void Write(http_response response) {
      response_.emplace(static_cast<http::status>(response.status), 11);
      response_->set(http::field::content_type, response.content_type);
      for (const auto& [name, value] : response.headers) {
        response_->set(name, value);
      }
      response_->keep_alive(keep_alive_ && !server_->draining_);
      response_->body() = std::move(response.body);
      response_->prepare_payload();
      stream_.expires_after(server_->settings_.write);
      http::async_write(stream_, *response_,
                        [self = shared_from_this()](beast::error_code failed, std::size_t) {
                          self->OnWritten(failed);
                        });
    }

    void OnWritten(beast::error_code failed) {
      if (std::exchange(in_call_, false)) {
        --server_->busy_;
      }
      if (failed || !response_->keep_alive()) {
        Close();
        return;
      }
      Read();
    }

    void Close() {
      beast::error_code ignored;
      stream_.socket().shutdown(tcp::socket::shutdown_both, ignored);
      stream_.close();
    }

    std::shared_ptr<impl> server_;
    beast::tcp_stream stream_;
    beast::flat_buffer buffer_;
    std::optional<http::request_parser<http::string_body>> parser_;
    std::optional<http::response<http::string_body>> response_;
    bool keep_alive_{false};
    bool in_call_{false};
  };

  void Begin(tcp::socket socket) {
    const auto made = std::make_shared<session>(shared_from_this(), std::move(socket));
    {
      const std::scoped_lock lock{mutex_};
      if (sessions_.size() >= settings_.max_connections) {
        return;
      }
      sessions_[made.get()] = made;
    }
    made->Start();
  }

  asio::io_context& io_;
  http_server_settings settings_;
  http_handler handler_;
  tcp::acceptor acceptor_;
  std::uint16_t port_{0};
  std::atomic<bool> draining_{false};
  std::atomic<std::size_t> busy_{0};
  std::mutex mutex_;
  std::map<session*, std::weak_ptr<session>> sessions_;
};

http_server::http_server(asio::io_context& io, http_server_settings settings, http_handler handler)
    : impl_{std::make_shared<impl>(io, std::move(settings), std::move(handler))} {
  impl_->Accept();
}

http_server::~http_server() { impl_->Drain(); }

std::uint16_t http_server::port() const noexcept { return impl_->port(); }
void http_server::Drain() { impl_->Drain(); }
std::size_t http_server::Busy() const noexcept { return impl_->busy(); }

}  // namespace rosearch
