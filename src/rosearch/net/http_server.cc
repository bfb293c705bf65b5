#include "rosearch/net/http_server.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <chrono>
#include <utility>

#include "rosearch/net/internal/http_session.h"

namespace rosearch {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;
using internal::http_session;
using internal::server_state;

/// Pause after a connection couldn't be accepted, as when no descriptor is free.
constexpr std::chrono::milliseconds kAcceptPause{50};
/// Beyond `max_connections`, while those that gave way are being closed.
constexpr std::size_t kClosingConnections = 16;

}  // namespace

/// Accepts connections; each is an `http_session` from then on.
class http_server::impl : public std::enable_shared_from_this<impl> {
 public:
  impl(asio::io_context& io, http_server_settings settings, http_handler handler,
       std::shared_ptr<client_memory> memory)
      : io_{io}, acceptor_{io}, accept_timer_{io} {
    const tcp::endpoint endpoint{asio::ip::make_address(settings.host), settings.port};
    acceptor_.open(endpoint.protocol());
    acceptor_.set_option(asio::socket_base::reuse_address{true});
    if (settings.receive_buffer_bytes > 0) {
      // Accepted sockets inherit it, before their first bytes arrive.
      acceptor_.set_option(asio::socket_base::receive_buffer_size{settings.receive_buffer_bytes});
    }
    acceptor_.bind(endpoint);
    acceptor_.listen(asio::socket_base::max_listen_connections);
    port_ = acceptor_.local_endpoint().port();
    state_ =
        std::make_shared<server_state>(std::move(settings), std::move(handler), std::move(memory));
  }

  void Accept() {
    acceptor_.async_accept(asio::make_strand(io_),
                           [self = shared_from_this()](error_code failed, tcp::socket socket) {
                             if (!failed) {
                               self->Begin(std::move(socket));
                             }
                             if (self->state_->draining) {
                               return;
                             }
                             if (failed) {
                               self->AcceptLater();
                             } else {
                               self->Accept();
                             }
                           });
  }

  void Drain() {
    state_->draining = true;
    state_->letting_go = true;
    asio::post(io_, [self = shared_from_this()] {
      self->AcceptWaiting();
      for (const auto& session : self->state_->Sessions()) {
        session->EndSoon();
      }
    });
  }

  [[nodiscard]] server_state& state() noexcept { return *state_; }
  [[nodiscard]] std::uint16_t port() const noexcept { return port_; }

 private:
  /// Begins again after a pause: an error that lasts would take all of the processor.
  void AcceptLater() {
    ShedOne();
    accept_timer_.expires_after(kAcceptPause);
    accept_timer_.async_wait([self = shared_from_this()](const error_code& failed) {
      if (!failed && !self->state_->draining) {
        self->Accept();
      }
    });
  }

  /// Clients whose connections wait in the kernel's queue may have sent their requests already.
  void AcceptWaiting() {
    error_code failed;
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

  bool ShedOne() { return state_->memory->ShedOne(state_.get(), std::chrono::steady_clock::now()); }

  void Begin(tcp::socket socket) {
    const auto made = std::make_shared<http_session>(state_, std::move(socket));
    const bool has_room = state_->Add(made, 0);
    if (!has_room && !(ShedOne() && state_->Add(made, kClosingConnections))) {
      return;
    }
    made->Start();
  }

  asio::io_context& io_;
  tcp::acceptor acceptor_;
  asio::steady_timer accept_timer_;
  std::shared_ptr<server_state> state_;
  std::uint16_t port_{0};
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
  impl_->state().SetLimits(max_header_bytes, max_body_bytes, header_timeout, idle);
}
void http_server::LetGo() { impl_->state().letting_go = true; }
void http_server::Drain() { impl_->Drain(); }
std::size_t http_server::Busy() const {
  const auto& state = impl_->state();
  return state.draining ? state.Count() : state.busy.load();
}

}  // namespace rosearch
