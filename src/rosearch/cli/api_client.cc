#include "rosearch/cli/api_client.h"

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <optional>
#include <utility>

#include "rosearch/cli/print.h"
#include "rosearch/platform/answer.h"
#include "rosearch/platform/clock.h"

namespace rosearch {

class api_client::impl {
 public:
  explicit impl(std::vector<std::string> entries) : entries_{std::move(entries)} {}

  /// Runs until `is_done` holds. Idle connections keep the io_context busy for longer.
  template <typename Predicate>
  void RunUntil(Predicate is_done) {
    io_.restart();
    while (!is_done() && io_.run_one() > 0) {
    }
  }

  void Send(api_request request, std::size_t at, api_callback done) {
    http_request made;
    made.address = entries_.at(at);
    made.method = request.method;
    made.target = request.target;
    made.body = request.body;
    made.content_type = request.body.empty() ? std::string{} : std::string{kJsonType};
    made.headers = request.headers;
    made.idempotent = request.idempotent;
    made.answer_by = SteadyNow() + request.limit;
    http_.Send(std::move(made), [this, request = std::move(request), at,
                                 done = std::move(done)](result<http_reply> answer) mutable {
      const bool is_last = at + 1 == entries_.size();
      if (is_last || !internal::WorthNextEntry(answer, request.idempotent)) {
        done(std::move(answer));
        return;
      }
      Send(std::move(request), at + 1, std::move(done));
    });
  }

 private:
  std::vector<std::string> entries_;
  boost::asio::io_context io_{1};
  http_client http_{io_};
};

api_client::api_client(std::vector<std::string> entries)
    : impl_{std::make_unique<impl>(std::move(entries))} {}

api_client::~api_client() = default;

result<http_reply> api_client::Ask(api_request request) {
  std::optional<result<http_reply>> answer;
  impl_->Send(std::move(request), 0, [&](result<http_reply> given) { answer = std::move(given); });
  impl_->RunUntil([&] { return answer.has_value(); });
  return answer ? std::move(*answer) : error{error_kind::kInternal, "no answer"};
}

void api_client::AskAll(std::size_t count, std::size_t at_once,
                        const std::function<api_request(std::size_t)>& make,
                        const std::function<void(std::size_t, result<http_reply>)>& done) {
  std::size_t next = 0;
  std::size_t answered = 0;
  std::function<void()> send_next = [&] {
    if (next == count) {
      return;
    }
    const auto index = next++;
    impl_->Send(make(index), 0, [&, index](result<http_reply> answer) {
      done(index, std::move(answer));
      ++answered;
      send_next();
    });
  };
  for (std::size_t at = 0; at < std::min(count, at_once); ++at) {
    send_next();
  }
  impl_->RunUntil([&] { return answered == count; });
}

namespace internal {

bool WorthNextEntry(const result<http_reply>& answer, bool idempotent) {
  if (answer.has_error()) {
    return idempotent || AnswerFor(answer.error().kind).effect == outcome::kNotRun;
  }
  const auto told = ErrorOf(answer.value());
  if (!told) {
    return false;
  }
  const auto& row = AnswerFor(told->kind);
  // These say that nobody knows whether it was done; asking again finds out.
  const bool in_doubt =
      told->kind == error_kind::kInterrupted || told->kind == error_kind::kTimeout;
  return (row.retryable || in_doubt) && (idempotent || row.effect == outcome::kNotRun);
}

}  // namespace internal
}  // namespace rosearch
