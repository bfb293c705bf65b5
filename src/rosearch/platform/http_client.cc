#include "rosearch/platform/http_client.h"

#include <netinet/tcp.h>

#include <algorithm>
#include <array>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <exception>
#include <list>
#include <map>
#include <mutex>
#include <optional>
#include <utility>

#include "rosearch/net/growing_body.h"
#include "rosearch/platform/address.h"
#include "rosearch/platform/clock.h"

namespace rosearch {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;

constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);

/// Ends a coroutine that nothing waits for: its exception leaves `io_context::run`. Dropped there,
/// it would end without a trace all that its callback would have caused.
void RethrowFailure(const std::exception_ptr& failure) {
  if (failure) {
    std::rethrow_exception(failure);
  }
}

/// Asio's clock counts nanoseconds, so the latest moments of ours would overflow it.
std::chrono::steady_clock::time_point ToSteady(time_point moment) {
  constexpr auto kLatest = std::chrono::duration_cast<duration>(
      std::chrono::steady_clock::time_point::max().time_since_epoch());
  return std::chrono::steady_clock::time_point{std::min(moment.time_since_epoch(), kLatest)};
}

error MakeError(error_kind kind, const http_request& request, std::string_view cause) {
  return error{kind,
               request.method + " " + request.address + request.target + ": " + std::string{cause}};
}

/// What waits for its end in the buffer: a head, a chunk's line, or all trailers together. Without
/// a bound an answer with one of these without end took all of the memory.
constexpr std::size_t kMostUnreadBytes = 65'536;

/// An open connection; its buffer holds what was read past the end of an answer.
struct connection {
  explicit connection(const asio::any_io_executor& executor) : stream{executor} {}

  beast::tcp_stream stream;
  beast::flat_buffer buffer{kMostUnreadBytes};
  time_point idle_since{};
  bool reused{false};
};

/// @return whether the peer has neither closed the connection nor sent anything unasked.
/// A server closes idle connections at any time. Without this look the request would be written
/// into a closed connection and, where it must not be sent twice, would end as lost though it never
/// ran.
bool LooksOpen(connection& open) {
  std::array<char, 1> byte{};
  error_code failed;
  auto& socket = open.stream.socket();
  socket.non_blocking(true, failed);
  socket.receive(asio::buffer(byte), tcp::socket::message_peek, failed);
  return failed == asio::error::would_block && open.buffer.size() == 0;
}

void SetOptions(tcp::socket& socket) {
  error_code ignored;
  socket.set_option(tcp::no_delay{true}, ignored);
  using user_timeout = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;
  const auto linger = std::chrono::duration_cast<std::chrono::milliseconds>(kWrittenBytesLinger);
  socket.set_option(user_timeout{static_cast<int>(linger.count())}, ignored);
}

http::request<http::string_body> ToBeast(const http_request& request) {
  http::request<http::string_body> message;
  message.version(11);
  message.method_string(request.method);
  message.target(request.target);
  message.set(http::field::host, request.address);
  if (!request.content_type.empty()) {
    message.set(http::field::content_type, request.content_type);
  }
  for (const auto& header : request.headers) {
    message.insert(header.name, header.value);
  }
  message.body() = request.body;
  message.prepare_payload();
  return message;
}

http_reply FromBeast(http::response<growing_body>&& message) {
  http_reply reply{message.result_int(), std::move(message.body()), {}};
  for (const auto& field : message) {
    reply.headers.push_back({std::string{field.name_string()}, std::string{field.value()}});
  }
  return reply;
}

/// What became of one try over one connection.
struct attempt {
  result<http_reply> outcome;
  bool keep_open{false};
  bool stale{false};            ///< a kept connection broke before any byte of the answer
  bool nothing_written{false};  ///< certainly not one byte left this process
};

/// The connections to one address. All its work runs on its own strand.
class host_pool : public std::enable_shared_from_this<host_pool> {
 public:
  host_pool(asio::io_context& io, const http_options& options)
      : strand_{asio::make_strand(io)}, options_{options}, sweep_timer_{strand_} {}

  void Send(http_request request, http_callback done) {
    asio::co_spawn(strand_, Run(shared_from_this(), std::move(request), std::move(done)),
                   RethrowFailure);
  }

  /// Closes idle connections now, and others as soon as their requests end.
  void Close() {
    asio::post(strand_, [self = shared_from_this()] {
      self->closed_ = true;
      self->idle_.clear();
      self->sweep_timer_.cancel();
    });
  }

 private:
  struct waiter {
    asio::steady_timer timer;
    bool granted{false};
  };

  static asio::awaitable<void> Run(std::shared_ptr<host_pool> self, http_request request,
                                   http_callback done) {
    if (request.fresh_connection) {
      done(co_await self->Exchange(request));
      co_return;
    }
    const bool has_slot = co_await self->AcquireSlot(SendDeadline(request));
    if (!has_slot) {
      done(NotSent(request, "no free connection in time"));
      co_return;
    }
    auto answer = co_await self->Exchange(request);
    self->ReleaseSlot();
    done(std::move(answer));
  }

  static time_point SendDeadline(const http_request& request) {
    return std::min(request.valid_until, request.answer_by);
  }

  /// The error of a request of which no byte was written, by the deadline that passed first.
  static error NotSent(const http_request& request, std::string_view cause) {
    return MakeError(
        SteadyNow() >= request.valid_until ? error_kind::kNoOwner : error_kind::kDeadlinePassed,
        request, cause);
  }

  asio::awaitable<bool> AcquireSlot(time_point until) {
    if (in_use_ < options_.connections_per_address) {
      ++in_use_;
      co_return true;
    }
    waiter self{asio::steady_timer{strand_, ToSteady(until)}};
    const auto place = waiting_.insert(waiting_.end(), &self);
    co_await self.timer.async_wait(kAwait);
    if (!self.granted) {
      waiting_.erase(place);
    }
    co_return self.granted;
  }

  void ReleaseSlot() {
    if (waiting_.empty()) {
      --in_use_;
      return;
    }
    auto* const next = waiting_.front();
    waiting_.pop_front();
    next->granted = true;
    next->timer.cancel();
  }

  asio::awaitable<result<http_reply>> Exchange(const http_request& request) {
    while (true) {
      std::unique_ptr<connection> open = request.fresh_connection ? nullptr : TakeIdle();
      if (open == nullptr) {
        result<std::unique_ptr<connection>> made = co_await Connect(request);
        if (made.has_error()) {
          co_return made.error();
        }
        open = std::move(made).value();
      }
      attempt tried = co_await Try(*open, request);
      const bool again =
          open->reused && (tried.nothing_written || (tried.stale && request.idempotent));
      const bool silent = open->reused && tried.outcome.has_error() &&
                          tried.outcome.error().kind == error_kind::kTimeout;
      if (silent) {
        // Kept connections go silent together, without a sign: each would hold up one request more.
        idle_.clear();
      }
      if (tried.keep_open) {
        Keep(std::move(open));
      }
      if (!again) {
        co_return std::move(tried.outcome);
      }
      // Every other kept connection is as old: a restarted server has closed them all.
      idle_.clear();
    }
  }

  std::unique_ptr<connection> TakeIdle() {
    while (!idle_.empty()) {
      auto open = std::move(idle_.back());
      idle_.pop_back();
      if (SteadyNow() - open->idle_since < options_.idle_limit && LooksOpen(*open)) {
        open->reused = true;
        return open;
      }
    }
    return nullptr;
  }

  void Keep(std::unique_ptr<connection> open) {
    open->idle_since = SteadyNow();
    open->stream.expires_never();
    if (closed_) {
      return;
    }
    idle_.push_back(std::move(open));
    if (!sweeping_) {
      sweeping_ = true;
      asio::co_spawn(strand_, Sweep(shared_from_this()), RethrowFailure);
    }
  }

  /// Closes connections that were idle for too long. Without it every VM that was ever replaced
  /// would leave its connections behind, until the process ran out of descriptors.
  static asio::awaitable<void> Sweep(std::shared_ptr<host_pool> self) {
    while (!self->idle_.empty()) {
      self->sweep_timer_.expires_after(self->options_.idle_limit);
      co_await self->sweep_timer_.async_wait(kAwait);
      const auto too_old = SteadyNow() - self->options_.idle_limit;
      std::erase_if(self->idle_, [&](const auto& open) { return open->idle_since <= too_old; });
    }
    self->sweeping_ = false;
  }

  asio::awaitable<result<std::unique_ptr<connection>>> Connect(const http_request& request) {
    const auto endpoint = ParseAddress(request.address);
    if (!endpoint) {
      co_return MakeError(error_kind::kTargetUnreachable, request, "not an address");
    }
    auto open = std::make_unique<connection>(strand_);
    const auto deadline = SendDeadline(request);
    open->stream.expires_at(ToSteady(std::min(deadline, SteadyNow() + options_.connect_timeout)));
    const auto [failed] = co_await open->stream.async_connect(*endpoint, kAwait);
    if (failed && SteadyNow() >= deadline) {
      co_return NotSent(request, "not connected in time");
    }
    if (failed) {
      co_return MakeError(error_kind::kTargetUnreachable, request, failed.message());
    }
    SetOptions(open->stream.socket());
    co_return open;
  }

  asio::awaitable<attempt> Try(connection& open, const http_request& request) {
    const auto message = ToBeast(request);
    // The write must also end by then: what isn't written whole can't be acted upon.
    open.stream.expires_at(ToSteady(SendDeadline(request)));
    // A process frozen while it waited for the connection finds its right to act gone only here;
    // the write below starts with no further wait in between.
    if (SteadyNow() >= SendDeadline(request)) {
      co_return attempt{NotSent(request, "its time passed before it was sent"), LooksOpen(open)};
    }
    const auto [write_failed, written] = co_await http::async_write(open.stream, message, kAwait);
    if (request.traffic != nullptr) {
      ++request.traffic->requests;
      request.traffic->bytes_sent += written;
    }
    if (write_failed) {
      co_return WriteFailure(request, write_failed, written);
    }
    open.stream.expires_at(ToSteady(request.answer_by));
    co_return co_await ReadAnswer(open, request);
  }

  static attempt WriteFailure(const http_request& request, error_code failed, std::size_t written) {
    if (written == 0 && SteadyNow() >= SendDeadline(request)) {
      return {NotSent(request, "nothing could be written in time"), false};
    }
    if (written == 0) {
      return {MakeError(error_kind::kTargetUnreachable, request, failed.message()), false, true,
              true};
    }
    const auto kind =
        failed == beast::error::timeout ? error_kind::kTimeout : error_kind::kTargetLost;
    return {MakeError(kind, request, failed.message()), false, true};
  }

  static asio::awaitable<attempt> ReadAnswer(connection& open, const http_request& request) {
    // An interim answer (1xx) precedes the real one. Taken for it, it would leave the real one
    // behind in the connection, as the answer to the next caller's request.
    attempt tried = co_await ReadOne(open, request);
    while (tried.outcome.has_value() && IsInterim(tried.outcome.value())) {
      tried = co_await ReadOne(open, request);
    }
    co_return tried;
  }

  static bool IsInterim(const http_reply& reply) {
    return http::to_status_class(reply.status) == http::status_class::informational;
  }

  static asio::awaitable<attempt> ReadOne(connection& open, const http_request& request) {
    http::response_parser<growing_body> parser;
    parser.body_limit(request.max_answer_bytes);
    parser.skip(request.method == "HEAD");
    const auto [failed, bytes] =
        co_await http::async_read(open.stream, open.buffer, parser, kAwait);
    if (request.traffic != nullptr) {
      request.traffic->bytes_received += bytes;
    }
    if (failed == beast::error::timeout) {
      co_return attempt{MakeError(error_kind::kTimeout, request, "no whole answer in time")};
    }
    if (failed) {
      co_return attempt{MakeError(error_kind::kTargetLost, request, failed.message()), false,
                        !parser.got_some()};
    }
    // Such an answer ends where the connection does, so one cut short would pass for a whole one.
    if (parser.get().need_eof() && !parser.get().has_content_length() && !parser.chunked()) {
      co_return attempt{MakeError(error_kind::kTargetLost, request, "answer of unknown length")};
    }
    const bool keep = parser.keep_alive();
    co_return attempt{FromBeast(parser.release()), keep};
  }

  asio::strand<asio::io_context::executor_type> strand_;
  http_options options_;
  std::size_t in_use_{0};
  std::list<waiter*> waiting_;
  std::vector<std::unique_ptr<connection>> idle_;
  asio::steady_timer sweep_timer_;
  bool sweeping_{false};
  bool closed_{false};
};

}  // namespace

std::string_view FindHeader(const std::vector<http_header>& headers,
                            std::string_view name) noexcept {
  for (const auto& header : headers) {
    if (beast::iequals(header.name, name)) {
      return header.value;
    }
  }
  return {};
}

bool WasNotSent(const error& failed) noexcept {
  return failed.kind == error_kind::kTargetUnreachable ||
         failed.kind == error_kind::kDeadlinePassed || failed.kind == error_kind::kNoOwner;
}

class http_client::impl {
 public:
  impl(asio::io_context& io, const http_options& options) : io_{io}, options_{options} {}

  ~impl() {
    for (const auto& [address, known] : pools_) {
      if (const auto pool = known.lock()) {
        pool->Close();
      }
    }
  }

  impl(const impl&) = delete;
  impl& operator=(const impl&) = delete;

  std::shared_ptr<host_pool> PoolOf(const std::string& address) {
    const std::lock_guard lock{mutex_};
    if (auto known = pools_[address].lock()) {
      return known;
    }
    // Addresses of replaced VMs would otherwise add up.
    std::erase_if(pools_, [](const auto& entry) { return entry.second.expired(); });
    auto made = std::make_shared<host_pool>(io_, options_);
    pools_[address] = made;
    return made;
  }

 private:
  asio::io_context& io_;
  const http_options options_;
  std::mutex mutex_;
  /// A pool lives for as long as it has requests or idle connections.
  std::map<std::string, std::weak_ptr<host_pool>> pools_;
};

http_client::http_client(asio::io_context& io, const http_options& options)
    : impl_{std::make_unique<impl>(io, options)} {}

http_client::~http_client() = default;

void http_client::Send(http_request request, http_callback done) {
  const auto pool = impl_->PoolOf(request.address);
  pool->Send(std::move(request), std::move(done));
}

}  // namespace rosearch
