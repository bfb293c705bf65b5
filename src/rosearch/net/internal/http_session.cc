#include "rosearch/net/internal/http_session.h"

#include <algorithm>
#include <boost/asio/dispatch.hpp>
#include <boost/asio/post.hpp>
#include <boost/beast/http.hpp>
#include <string>
#include <utility>

namespace rosearch::internal {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;

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

/// So much is read and thrown away behind a last answer.
constexpr std::size_t kLingerBytes = std::size_t{16} << 20U;

constexpr const char* kTooLargeBody =
    R"({"error":{"kind":"invalid_request","outcome":"not_run","detail":"too large"}})";
constexpr const char* kNoRoomBody =
    R"({"error":{"kind":"overloaded","outcome":"not_run","detail":"memory for clients"}})";

http_response Refusal(client_refusal reason) {
  switch (reason) {
    case client_refusal::kHeadTooLarge:
    case client_refusal::kFraming:
      return {431, kTooLargeBody};
    case client_refusal::kBodyTooLarge:
      return {413, kTooLargeBody};
    default:
      return {503,
              kNoRoomBody,
              "application/json",
              {{"Retry-After", std::to_string(kRetryAfter.count())}}};
  }
}

}  // namespace

server_state::server_state(http_server_settings settings, http_handler handle,
                           std::shared_ptr<client_memory> account)
    : handler{std::move(handle)}, memory{std::move(account)}, settings_{std::move(settings)} {}

http_server_settings server_state::Settings() const {
  const std::scoped_lock lock{mutex_};
  return settings_;
}

void server_state::SetLimits(std::uint32_t max_header_bytes, std::size_t max_body_bytes,
                             std::chrono::milliseconds header_timeout,
                             std::chrono::milliseconds idle) {
  const std::scoped_lock lock{mutex_};
  settings_.max_header_bytes = max_header_bytes;
  settings_.max_body_bytes = max_body_bytes;
  settings_.header_timeout = header_timeout;
  settings_.idle = idle;
}

bool server_state::Add(const std::shared_ptr<http_session>& made, std::size_t beyond) {
  const std::scoped_lock lock{mutex_};
  if (sessions_.size() >= settings_.max_connections + beyond) {
    return false;
  }
  sessions_[made.get()] = made;
  return true;
}

void server_state::Remove(http_session* gone) {
  const std::scoped_lock lock{mutex_};
  sessions_.erase(gone);
}

std::size_t server_state::Count() const {
  const std::scoped_lock lock{mutex_};
  return sessions_.size();
}

std::vector<std::shared_ptr<http_session>> server_state::Sessions() const {
  std::vector<std::shared_ptr<http_session>> open;
  const std::scoped_lock lock{mutex_};
  for (const auto& item : sessions_) {
    if (auto each = item.second.lock()) {
      open.push_back(std::move(each));
    }
  }
  return open;
}

http_session::http_session(std::shared_ptr<server_state> server, tcp::socket socket)
    : server_{std::move(server)}, stream_{std::move(socket)} {
  beast::error_code ignored;
  stream_.socket().set_option(tcp::no_delay{true}, ignored);
}

http_session::~http_session() {
  share_.reset();
  server_->Remove(this);
}

void http_session::Start() {
  share_.emplace(server_->memory, server_.get(), [weak = weak_from_this()] {
    if (const auto self = weak.lock()) {
      asio::post(self->stream_.get_executor(), [self] { self->Shed(); });
    }
  });
  asio::dispatch(stream_.get_executor(), [self = shared_from_this()] { self->Read(); });
}

void http_session::EndSoon() {
  asio::post(stream_.get_executor(), [self = shared_from_this()] {
    if (self->phase_ == phase::kIdle) {
      // A deadline can't be changed under a read: it is ended, and begun again with another.
      self->stream_.cancel();
    }
  });
}

void http_session::Read() {
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
  stream_.expires_after(server_->draining ? limits_.drain_idle : limits_.idle);
  ReadSome();
}

void http_session::ReadSome() {
  stream_.async_read_some(buffer_.prepare(next_read_),
                          [self = shared_from_this()](beast::error_code failed, std::size_t count) {
                            self->OnRead(failed, count);
                          });
}

void http_session::OnRead(beast::error_code failed, std::size_t count) {
  buffer_.commit(count);
  if (shed_) {
    EndShed();
  } else if (phase_ == phase::kIdle && failed == asio::error::operation_aborted &&
             server_->draining) {
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

void http_session::BeginRequest() {
  phase_ = phase::kArriving;
  began_at_ = SteadyNow();
  stream_.expires_after(limits_.header_timeout);
  Parse();
}

void http_session::Parse() {
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
      server_->memory->Count(client_refusal::kMalformed);
      Close();
      return;
  }
}

void http_session::ReadMore() {
  if (HoldBytes()) {
    ReadSome();
  } else {
    EndShed();
  }
}

void http_session::OnHead() {
  stream_.expires_after(limits_.body_timeout);
  if (reader_->ExpectsContinue()) {
    Continue();
  } else {
    Parse();
  }
}

void http_session::Continue() {
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

void http_session::OnWhole() {
  const auto copies = (kCallCopies - 1) * reader_->BodyBytes();
  if (!share_->BeginCall(CountBytes() + copies, SteadyNow())) {
    Refuse(client_refusal::kCalls);
    return;
  }
  keep_alive_ = reader_->KeepsAlive();
  phase_ = phase::kCalled;
  ++server_->busy;
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
  server_->handler(std::move(call), std::move(respond));
}

void http_session::Answer(http_response response) {
  --server_->busy;
  // A question can be put again: its answer says so where there is no room for it.
  if (is_query_ && !share_->HasRoomForAnswer(response.body.size())) {
    server_->memory->Count(client_refusal::kMemory);
    response = Refusal(client_refusal::kMemory);
  }
  Write(std::move(response));
}

void http_session::Write(http_response response) {
  phase_ = phase::kAnswering;
  response_.emplace(static_cast<http::status>(response.status), 11);
  response_->set(http::field::content_type, response.content_type);
  for (const auto& [name, value] : response.headers) {
    response_->set(name, value);
  }
  response_->keep_alive(keep_alive_ && !server_->letting_go);
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

void http_session::OnWritten(beast::error_code failed) {
  const bool keeps_alive = response_->keep_alive();
  response_.reset();
  if (failed) {
    Close();
  } else if (!keeps_alive) {
    Linger();
  } else {
    Read();
  }
}

void http_session::Refuse(client_refusal reason) {
  server_->memory->Count(reason);
  WriteRefusal(reason);
}

void http_session::WriteRefusal(client_refusal reason) {
  keep_alive_ = false;
  shed_ = false;
  refused_ = true;
  reader_.reset();
  buffer_ = beast::flat_buffer{};
  Write(Refusal(reason));
}

void http_session::Shed() {
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

void http_session::EndShed() {
  if (phase_ == phase::kIdle && buffer_.size() == 0) {
    Close();
  } else {
    WriteRefusal(client_refusal::kMemory);
  }
}

void http_session::Linger() {
  phase_ = phase::kFinished;
  beast::error_code ignored;
  stream_.socket().shutdown(tcp::socket::shutdown_send, ignored);
  stream_.expires_after(limits_.linger);
  buffer_ = beast::flat_buffer{};
  share_->Finish(CountBytes(), SteadyNow());
  LingerOn(kLingerBytes);
}

void http_session::LingerOn(std::size_t left) {
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

void http_session::Close() {
  beast::error_code ignored;
  stream_.socket().shutdown(tcp::socket::shutdown_both, ignored);
  stream_.close();
}

std::size_t http_session::CountBytes() const {
  const auto extra = buffer_.capacity() > kFirstRead ? buffer_.capacity() : 0;
  return kConnectionBytes + static_cast<std::size_t>(limits_.receive_buffer_bytes) + extra +
         (reader_ ? reader_->HeldBytes() : 0) + (response_ ? response_->body().capacity() : 0);
}

bool http_session::HoldBytes() { return share_->Hold(CountBytes(), began_at_, SteadyNow()); }

client_memory::time_point http_session::SteadyNow() { return std::chrono::steady_clock::now(); }

}  // namespace rosearch::internal
