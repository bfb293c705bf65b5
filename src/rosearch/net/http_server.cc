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
#include <vector>

namespace rosearch {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;

constexpr std::size_t kFirstRead = 4096;
constexpr std::size_t kLingerRead = 65'536;

/// So much is read and thrown away behind a last answer.
constexpr std::size_t kLingerBytes = std::size_t{16} << 20U;

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
          if (!failed) {
            self->Begin(std::move(socket));
          }
          if (!self->draining_) {
            self->Accept();
          }
        });
  }

  void SetLimits(std::uint32_t max_header_bytes, std::size_t max_body_bytes,
                 std::chrono::milliseconds header_timeout, std::chrono::milliseconds idle) {
    const std::scoped_lock lock{mutex_};
    settings_.max_header_bytes = max_header_bytes;
    settings_.max_body_bytes = max_body_bytes;
    settings_.header_timeout = header_timeout;
    settings_.idle = idle;
  }

  /// @return the limits in force now.
  [[nodiscard]] http_server_settings Settings() {
    const std::scoped_lock lock{mutex_};
    return settings_;
  }

  void LetGo() { letting_go_ = true; }

  void Drain() {
    draining_ = true;
    letting_go_ = true;
    asio::post(io_, [self = shared_from_this()] {
      self->AcceptWaiting();
      for (const auto& session : self->Sessions()) {
        session->EndSoon();
      }
    });
  }

  [[nodiscard]] std::uint16_t port() const noexcept { return port_; }
  [[nodiscard]] std::size_t busy() {
    const std::scoped_lock lock{mutex_};
    return draining_ ? sessions_.size() : busy_.load();
  }

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

    /// Gives a request that may be on its way a little time, where none has begun.
    void EndSoon() {
      asio::post(stream_.get_executor(), [self = shared_from_this()] {
        if (self->waiting_) {
          // A deadline can't be changed under a read: it is ended, and begun again with another.
          self->stream_.cancel();
        }
      });
    }

   private:
    void Read() {
      limits_ = server_->Settings();
      parser_.emplace();
      parser_->body_limit(limits_.max_body_bytes);
      parser_->header_limit(limits_.max_header_bytes);
      if (buffer_.size() > 0) {
        ReadHead();
        return;
      }
      waiting_ = true;
      stream_.expires_after(server_->draining_ ? limits_.drain_idle : limits_.idle);
      stream_.async_read_some(
          buffer_.prepare(kFirstRead),
          [self = shared_from_this()](beast::error_code failed, std::size_t count) {
            self->waiting_ = false;
            self->buffer_.commit(count);
            if (failed == asio::error::operation_aborted && self->server_->draining_) {
              self->Read();
            } else if (failed) {
              self->Close();
            } else {
              self->ReadHead();
            }
          });
    }

    // Head and body have a bound each: a client that sends a byte now and then would otherwise keep
    // its connection, and enough of them all connections that the server has.
    void ReadHead() {
      stream_.expires_after(limits_.header_timeout);
      http::async_read_header(stream_, buffer_, *parser_,
                              [self = shared_from_this()](beast::error_code failed, std::size_t) {
                                self->OnHead(failed);
                              });
    }

    void OnHead(beast::error_code failed) {
      if (failed) {
        OnRead(failed);
        return;
      }
      if (beast::iequals(parser_->get()[http::field::expect], "100-continue")) {
        Continue();
        return;
      }
      ReadBody();
    }

    /// A client that asks before it sends a body waits for this.
    void Continue() {
      response_.emplace(http::status::continue_, 11);
      http::async_write(stream_, *response_,
                        [self = shared_from_this()](beast::error_code failed, std::size_t) {
                          if (failed) {
                            self->Close();
                          } else {
                            self->ReadBody();
                          }
                        });
    }

    void ReadBody() {
      stream_.expires_after(limits_.body_timeout);
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
      response_->keep_alive(keep_alive_ && !server_->letting_go_);
      response_->body() = std::move(response.body);
      response_->prepare_payload();
      stream_.expires_after(limits_.write);
      http::async_write(stream_, *response_,
                        [self = shared_from_this()](beast::error_code failed, std::size_t) {
                          self->OnWritten(failed);
                        });
    }

    void OnWritten(beast::error_code failed) {
      if (std::exchange(in_call_, false)) {
        --server_->busy_;
      }
      if (failed) {
        Close();
      } else if (!response_->keep_alive()) {
        Linger();
      } else {
        Read();
      }
    }

    /// Ends the answer and takes in what the client still sends, up to a bound. Closing with bytes
    /// unread resets the connection, and the reset destroys the answer at a client that has not
    /// read it: one that sent too large a body would never learn so.
    void Linger() {
      beast::error_code ignored;
      stream_.socket().shutdown(tcp::socket::shutdown_send, ignored);
      stream_.expires_after(limits_.linger);
      LingerOn(kLingerBytes);
    }

    void LingerOn(std::size_t left) {
      buffer_.clear();
      stream_.async_read_some(
          buffer_.prepare(kLingerRead),
          [self = shared_from_this(), left](beast::error_code failed, std::size_t count) {
            if (failed || count >= left) {
              self->Close();
            } else {
              self->LingerOn(left - count);
            }
          });
    }

    void Close() {
      beast::error_code ignored;
      stream_.socket().shutdown(tcp::socket::shutdown_both, ignored);
      stream_.close();
    }

    std::shared_ptr<impl> server_;
    http_server_settings limits_;  ///< of the request at hand
    beast::tcp_stream stream_;
    beast::flat_buffer buffer_;
    std::optional<http::request_parser<http::string_body>> parser_;
    std::optional<http::response<http::string_body>> response_;
    bool keep_alive_{false};
    bool in_call_{false};
    bool waiting_{false};  ///< for the first byte of a request
  };

  /// Clients whose connections wait in the kernel's queue may have sent their requests already.
  void AcceptWaiting() {
    beast::error_code failed;
    acceptor_.non_blocking(true, failed);
    while (!failed) {
      tcp::socket socket{asio::make_strand(io_)};
      acceptor_.accept(socket, failed);
      if (!failed) {
        Begin(std::move(socket));
      }
    }
    acceptor_.close(failed);
  }

  /// The last holder of a session takes the lock as it goes, so nobody may hold both.
  std::vector<std::shared_ptr<session>> Sessions() {
    std::vector<std::shared_ptr<session>> open;
    const std::scoped_lock lock{mutex_};
    for (const auto& item : sessions_) {
      if (auto each = item.second.lock()) {
        open.push_back(std::move(each));
      }
    }
    return open;
  }

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
  std::atomic<bool> letting_go_{false};
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
void http_server::SetLimits(std::uint32_t max_header_bytes, std::size_t max_body_bytes,
                            std::chrono::milliseconds header_timeout,
                            std::chrono::milliseconds idle) {
  impl_->SetLimits(max_header_bytes, max_body_bytes, header_timeout, idle);
}
void http_server::LetGo() { impl_->LetGo(); }
void http_server::Drain() { impl_->Drain(); }
std::size_t http_server::Busy() const { return impl_->busy(); }

}  // namespace rosearch
