#include "rosearch/shard/shard_output.h"

#include <chrono>
#include <utility>

namespace rosearch {

wire::error_body ToWire(const error& value) {
  wire::error_body body;
  body.set_kind(std::string{AnswerFor(value.kind).name});
  body.set_detail(value.detail);
  if (value.retry_after) {
    const auto wait = std::chrono::ceil<std::chrono::milliseconds>(*value.retry_after);
    body.set_retry_after_ms(static_cast<std::uint32_t>(wait.count()));
  }
  return body;
}

error FromWire(const wire::error_body& value) {
  error made{ErrorKindFromName(value.kind()), value.detail()};
  if (value.retry_after_ms() != 0) {
    made.retry_after = std::chrono::milliseconds{value.retry_after_ms()};
  }
  return made;
}

wire::call_answer ErrorAnswer(const error& value) {
  wire::call_answer answer;
  *answer.mutable_error() = ToWire(value);
  return answer;
}

error NoSecondCopy() {
  return {error_kind::kNotReady, "no second copy can be kept at the moment",
          std::chrono::milliseconds{500}};
}

wire::ending EndingOf(error_kind kind, std::string detail) {
  wire::ending how;
  *how.mutable_error() = ToWire(error{kind, std::move(detail)});
  return how;
}

outcome EffectOf(const wire::ending& how) {
  if (how.error().kind().empty()) {
    return outcome::kDone;
  }
  return AnswerFor(ErrorKindFromName(how.error().kind())).effect;
}

}  // namespace rosearch
