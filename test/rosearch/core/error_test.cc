#include "rosearch/core/error.h"

#include <catch2/catch.hpp>

#include "rosearch/core/result.h"

namespace rosearch {

TEST_CASE("every kind of error has its own row and its own name") {
  for (int kind = 0; kind <= static_cast<int>(error_kind::kInternal); ++kind) {
    const auto value = static_cast<error_kind>(kind);
    const auto& answer = AnswerFor(value);
    CHECK(answer.kind == value);
    CHECK(ErrorKindFromName(answer.name) == value);
  }
}

TEST_CASE("a result carries its error") {
  const result<int> failed = error{error_kind::kNoRule, "none"};
  REQUIRE(failed.has_error());
  CHECK(failed.error().kind == error_kind::kNoRule);
}

}  // namespace rosearch
