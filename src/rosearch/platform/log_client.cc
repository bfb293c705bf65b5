#include "rosearch/platform/log_client.h"

#include <chrono>
#include <utility>

#include "rosearch/platform/answer.h"
#include "rosearch/platform/clock.h"

namespace rosearch {
namespace {

/// Allowed for a read besides the time that the log may hold it back.
constexpr duration kReadTimeout = std::chrono::seconds{2};

/// Keeps an error that proves that nothing took effect; all others become `kLogUnavailable`.
error ToLogError(const error& cause) {
  if (AnswerFor(cause.kind).effect == outcome::kNotRun) {
    return cause;
  }
  return error{error_kind::kLogUnavailable, cause.detail};
}

}  // namespace

log_client::log_client(http_client& http, std::string address)
    : http_{http}, address_{std::move(address)} {}

void log_client::Append(const std::string& stream, const std::vector<std::string>& records,
                        time_point deadline, append_callback done) {
  wire::log_append_request body;
  for (const auto& record : records) {
    body.add_records(record);
  }
  http_request request{.address = address_,
                       .method = "POST",
                       .target = "/v1/streams/" + stream + "/append",
                       .body = ToJson(body),
                       .content_type = std::string{kJsonType},
                       .answer_by = deadline,
                       .traffic = &traffic_};
  http_.Send(std::move(request), [done = std::move(done)](const result<http_reply>& answer) {
    const auto message = internal::ReadAnswer<wire::log_append_answer>(answer);
    if (message.has_error()) {
      done(ToLogError(message.error()));
      return;
    }
    done(message.value().first_offset());
  });
}

void log_client::Read(const std::string& stream, std::uint64_t from, std::uint32_t max,
                      duration wait, log_read_callback done) {
  const auto wait_ms = std::chrono::duration_cast<std::chrono::milliseconds>(wait).count();
  http_request request{.address = address_,
                       .target = "/v1/streams/" + stream + "?from=" + std::to_string(from) +
                                 "&max=" + std::to_string(max) +
                                 "&wait_ms=" + std::to_string(wait_ms),
                       .answer_by = SteadyNow() + wait + kReadTimeout,
                       .idempotent = true,
                       .traffic = &traffic_};
  http_.Send(std::move(request), [done = std::move(done)](const result<http_reply>& answer) {
    auto message = internal::ReadAnswer<wire::log_read_answer>(answer);
    if (message.has_error()) {
      done(error{error_kind::kLogUnavailable, message.error().detail});
      return;
    }
    done(std::move(message));
  });
}

}  // namespace rosearch
