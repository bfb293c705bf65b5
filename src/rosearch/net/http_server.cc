#include "rosearch/net/http_server.h"

#include <atomic>
#include <boost/asio/dispatch.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <map>
#include <mutex>
#include <optional>
#include <utility>
#include <vector>

#include "rosearch/net/internal/request_reader.h"

namespace rosearch {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;

using internal::read_progress;
using internal::request_limits;
using internal::request_reader;

constexpr std::size_t kFirstRead = 4096;
constexpr std::size_t kLargestRead = 16'384;
/// Of a connection beside what it receives: its objects, and the buffer of the first read.
constexpr std::size_t kConnectionBytes = 8192;
/// A call's body lives in the request, in the message to another process and in that message as it
/// is sent.
constexpr std::size_t kCallCopies = 3;
/// So long a client may leave its answer unread when others need the memory.
constexpr std::chrono::seconds kUnreadAnswer{1};
constexpr std::chrono::seconds kRetryAfter{1};
/// Beyond `max_connections`, while those that gave way are being closed.
constexpr std::size_t kClosingConnections = 16;
/// Pause after a connection couldn't be accepted, as when no descriptor is free.
constexpr std::chrono::milliseconds kAcceptPause{50};

/// So much is read and thrown away behind a last answer.
constexpr std::size_t kLingerBytes = std::size_t{16} << 20U;

http_response Refusal(client_refusal reason) {
  switch (reason) {
    case client_refusal::kHeadTooLarge:
    case client_refusal::kFraming:
      return {431,
              R"({"error":{"kind":"invalid_request","outcome":"not_run","detail":"too large"}})"};
    case client_refusal::kBodyTooLarge:
      return {413,
              R"({"error":{"kind":"invalid_request","outcome":"not_run","detail":"too large"}})"};
    default:
      return {
          503,
          R"({"error":{"kind":"overloaded","outcome":"not_run","detail":"memory for clients"}})",
          "application/json",
          {{"Retry-After", std::to_string(kRetryAfter.count())}}};
  }
}

}  // namespace

class http_server::impl : public std::enable_shared_from_this<impl> {
 public:
  impl(asio::io_context& io, http_server_settings settings, http_handler handler,
       std::shared_ptr<client_memory> memory)
      : io_{io},
        settings_{std::move(settings)},
        handler_{std::move(handler)},
        memory_{std::move(memory)},
        acceptor_{io},
        accept_timer_{io} {
    const tcp::endpoint endpoint{asio::ip::make_address(settings_.host), settings_.port};
    acceptor_.open(endpoint.protocol());
    acceptor_.set_option(asio::socket_base::reuse_address{true});
    if (settings_.receive_buffer_bytes > 0) {
      // Accepted sockets inherit it, before their first bytes arrive.
      acceptor_.set_option(asio::socket_base::receive_buffer_size{settings_.receive_buffer_bytes});
    }
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
          if (self->draining_) {
            return;
          }
          if (failed) {
            self->AcceptLater();
          } else {
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
      share_.reset();
      const std::scoped_lock lock{server_->mutex_};
      server_->sessions_.erase(this);
    }

    session(const session&) = delete;
    session& operator=(const session&) = delete;

    void Start() {
      share_.emplace(server_->memory_, server_.get(), [weak = weak_from_this()] {
        if (const auto self = weak.lock()) {
          asio::post(self->stream_.get_executor(), [self] { self->Shed(); });
        }
      });
      asio::dispatch(stream_.get_executor(), [self = shared_from_this()] { self->Read(); });
    }

    /// Gives a request that may be on its way a little time, where none has begun.
    void EndSoon() {
      asio::post(stream_.get_executor(), [self = shared_from_this()] {
        if (self->phase_ == phase::kIdle) {
          // A deadline can't be changed under a read: it is ended, and begun again with another.
          self->stream_.cancel();
        }
      });
    }

   private:
    enum class phase : std::uint8_t {
      kIdle,       ///< waits for the first byte of a request
      kArriving,   ///< reads a request
      kCalled,     ///< waits for the answer of the handler
      kAnswering,  ///< writes the answer
      kFinished,   ///< has written its last answer
    };

    void Read() {
      limits_ = server_->Settings();
      reader_.emplace(request_limits{limits_.max_header_bytes, limits_.max_body_bytes});
      next_read_ = kFirstRead;
      began_at_ = SteadyNow();
      if (buffer_.size() > 0) {
        BeginRequest();
        return;
      }
      if (buffer_.capacity() > kFirstRead) {
        buffer_ = beast::flat_buffer{};
      }
      phase_ = phase::kIdle;
      if (!HoldBytes()) {
        Close();
        return;
      }
      stream_.expires_after(server_->draining_ ? limits_.drain_idle : limits_.idle);
      ReadSome();
    }

    void ReadSome() {
      stream_.async_read_some(
          buffer_.prepare(next_read_),
          [self = shared_from_this()](beast::error_code failed, std::size_t count) {
            self->OnRead(failed, count);
          });
    }

    void OnRead(beast::error_code failed, std::size_t count) {
      buffer_.commit(count);
      if (shed_) {
        EndShed();
      } else if (phase_ == phase::kIdle && failed == asio::error::operation_aborted &&
                 server_->draining_) {
        Read();
      } else if (failed) {
        Close();
      } else if (phase_ == phase::kIdle) {
        BeginRequest();
      } else {
        next_read_ = count == next_read_ ? std::min(2 * next_read_, kLargestRead) : next_read_;
        Parse();
      }
    }

    // Head and body have a bound each: a client that sends a byte now and then would otherwise keep
    // its connection, and enough of them all connections that the server has.
    void BeginRequest() {
      phase_ = phase::kArriving;
      began_at_ = SteadyNow();
      stream_.expires_after(limits_.header_timeout);
      Parse();
    }

    void Parse() {
      switch (reader_->Read(buffer_)) {
        case read_progress::kNeedsMore:
          ReadMore();
          return;
        case read_progress::kHead:
          OnHead();
          return;
        case read_progress::kWhole:
          OnWhole();
          return;
        case read_progress::kHeadTooLarge:
          Refuse(client_refusal::kHeadTooLarge);
          return;
        case read_progress::kBodyTooLarge:
          Refuse(client_refusal::kBodyTooLarge);
          return;
        case read_progress::kFramingTooLarge:
          Refuse(client_refusal::kFraming);
          return;
        case read_progress::kMalformed:
          server_->memory_->Count(client_refusal::kMalformed);
          Close();
          return;
      }
    }

    void ReadMore() {
      if (HoldBytes()) {
        ReadSome();
      } else {
        EndShed();
      }
    }

    void OnHead() {
      stream_.expires_after(limits_.body_timeout);
      if (reader_->ExpectsContinue()) {
        Continue();
      } else {
        Parse();
      }
    }

    /// A client that asks before it sends a body waits for this.
    void Continue() {
      response_.emplace(http::status::continue_, 11);
      http::async_write(stream_, *response_,
                        [self = shared_from_this()](beast::error_code failed, std::size_t) {
                          if (self->shed_) {
                            self->EndShed();
                          } else if (failed) {
                            self->Close();
                          } else {
                            self->Parse();
                          }
                        });
    }

    void OnWhole() {
      const auto copies = (kCallCopies - 1) * reader_->BodyBytes();
      if (!share_->BeginCall(CountBytes() + copies, SteadyNow())) {
        server_->memory_->Count(client_refusal::kCalls);
        WriteRefusal(client_refusal::kCalls);
        return;
      }
      keep_alive_ = reader_->KeepsAlive();
      phase_ = phase::kCalled;
      ++server_->busy_;
      auto respond = [self = shared_from_this(),
                      once = std::make_shared<std::atomic_flag>()](http_response response) {
        if (once->test_and_set()) {
          return;
        }
        asio::post(self->stream_.get_executor(), [self, response = std::move(response)]() mutable {
          self->Answer(std::move(response));
        });
      };
      stream_.expires_never();
      auto call = reader_->TakeCall();
      is_query_ = call.method == "GET";
      reader_.reset();
      server_->handler_(std::move(call), std::move(respond));
    }

    void Answer(http_response response) {
      --server_->busy_;
      // A question can be put again: its answer says so where there is no room for it.
      if (is_query_ && !share_->HasRoomForAnswer(response.body.size())) {
        server_->memory_->Count(client_refusal::kMemory);
        response = Refusal(client_refusal::kMemory);
      }
      Write(std::move(response));
    }

    void Write(http_response response) {
      phase_ = phase::kAnswering;
      response_.emplace(static_cast<http::status>(response.status), 11);
      response_->set(http::field::content_type, response.content_type);
      for (const auto& [name, value] : response.headers) {
        response_->set(name, value);
      }
      response_->keep_alive(keep_alive_ && !server_->letting_go_);
      response_->body() = std::move(response.body);
      response_->prepare_payload();
      const auto now = SteadyNow();
      share_->HoldAnswer(CountBytes(), now + kUnreadAnswer, now);
      stream_.expires_after(limits_.write);
      http::async_write(stream_, *response_,
                        [self = shared_from_this()](beast::error_code failed, std::size_t) {
                          self->OnWritten(failed);
                        });
    }

    void OnWritten(beast::error_code failed) {
      const bool keeps_alive = response_->keep_alive();
      response_.reset();
      if (failed || shed_) {
        Close();
      } else if (!keeps_alive) {
        Linger();
      } else {
        Read();
      }
    }

    /// Answers a client whose request isn't handled, and lets it go.
    void Refuse(client_refusal reason) {
      server_->memory_->Count(reason);
      WriteRefusal(reason);
    }

    void WriteRefusal(client_refusal reason) {
      keep_alive_ = false;
      shed_ = false;
      refused_ = true;
      reader_.reset();
      buffer_ = beast::flat_buffer{};
      Write(Refusal(reason));
    }

    /// Gives back what this connection holds, as the memory for clients is full.
    void Shed() {
      const bool writes_refusal = phase_ == phase::kAnswering && refused_;
      if (phase_ == phase::kCalled || writes_refusal || shed_) {
        return;
      }
      if (phase_ == phase::kAnswering || phase_ == phase::kFinished) {
        Close();
        return;
      }
      shed_ = true;
      stream_.cancel();  // the read under way ends with `EndShed`
    }

    void EndShed() {
      if (phase_ == phase::kIdle && buffer_.size() == 0) {
        Close();
      } else {
        WriteRefusal(client_refusal::kMemory);
      }
    }

    /// Ends the answer and takes in what the client still sends, up to a bound. Closing with bytes
    /// unread resets the connection, and the reset destroys the answer at a client that has not
    /// read it: one that sent too large a body would never learn so.
    void Linger() {
      phase_ = phase::kFinished;
      beast::error_code ignored;
      stream_.socket().shutdown(tcp::socket::shutdown_send, ignored);
      stream_.expires_after(limits_.linger);
      buffer_ = beast::flat_buffer{};
      share_->Finish(CountBytes(), SteadyNow());
      LingerOn(kLingerBytes);
    }

    void LingerOn(std::size_t left) {
      buffer_.clear();
      stream_.async_read_some(
          buffer_.prepare(kFirstRead),
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

    [[nodiscard]] std::size_t CountBytes() const {
      const auto extra = buffer_.capacity() > kFirstRead ? buffer_.capacity() : 0;
      return kConnectionBytes + static_cast<std::size_t>(limits_.receive_buffer_bytes) + extra +
             (reader_ ? reader_->HeldBytes() : 0) + (response_ ? response_->body().capacity() : 0);
    }

    /// @return false if this connection is to go.
    [[nodiscard]] bool HoldBytes() { return share_->Hold(CountBytes(), began_at_, SteadyNow()); }

    static client_memory::time_point SteadyNow() { return std::chrono::steady_clock::now(); }

    std::shared_ptr<impl> server_;
    http_server_settings limits_;  ///< of the request at hand
    beast::tcp_stream stream_;
    beast::flat_buffer buffer_;
    std::optional<client_memory::share> share_;
    std::optional<request_reader> reader_;
    std::optional<http::response<http::string_body>> response_;
    client_memory::time_point began_at_{};  ///< the request at hand, or the wait for it
    std::size_t next_read_{kFirstRead};
    phase phase_{phase::kIdle};
    bool keep_alive_{false};
    bool is_query_{false};  ///< the request at hand has no effect
    bool shed_{false};      ///< it is to go as soon as the operation under way has ended
    bool refused_{false};   ///< its last answer is a refusal of this server
  };

  /// Begins again after a pause: an error that lasts would take all of the processor.
  void AcceptLater() {
    memory_->ShedOne(this, std::chrono::steady_clock::now());
    accept_timer_.expires_after(kAcceptPause);
    accept_timer_.async_wait([self = shared_from_this()](const beast::error_code& failed) {
      if (!failed && !self->draining_) {
        self->Accept();
      }
    });
  }

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
    bool is_full = false;
    bool has_room = false;
    {
      const std::scoped_lock lock{mutex_};
      is_full = sessions_.size() >= settings_.max_connections;
      // The one that gives way is closed a moment later.
      has_room = sessions_.size() < settings_.max_connections + kClosingConnections;
      if (has_room) {
        sessions_[made.get()] = made;
      }
    }
    if (is_full && !(memory_->ShedOne(this, std::chrono::steady_clock::now()) && has_room)) {
      return;
    }
    made->Start();
  }

  asio::io_context& io_;
  http_server_settings settings_;
  http_handler handler_;
  std::shared_ptr<client_memory> memory_;
  tcp::acceptor acceptor_;
  asio::steady_timer accept_timer_;
  std::uint16_t port_{0};
  std::atomic<bool> draining_{false};
  std::atomic<bool> letting_go_{false};
  std::atomic<std::size_t> busy_{0};
  std::mutex mutex_;
  std::map<session*, std::weak_ptr<session>> sessions_;
};

http_server::http_server(asio::io_context& io, http_server_settings settings, http_handler handler,
                         std::shared_ptr<client_memory> memory)
    : impl_{
          std::make_shared<impl>(io, std::move(settings), std::move(handler), std::move(memory))} {
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
