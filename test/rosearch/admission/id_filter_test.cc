#include "rosearch/admission/id_filter.h"

#include <catch2/catch.hpp>
#include <string>

namespace rosearch::admission {
namespace {

constexpr int kIds = 16'000;

std::string Id(int number) { return "job-" + std::to_string(number); }

id_filter FilledFilter(std::uint64_t seed) {
  id_filter filter{kIds, seed};
  for (int number = 0; number < kIds; ++number) {
    filter.Add(Id(number));
  }
  return filter;
}

}  // namespace

// Guards against the refusal of a job that the leader has accepted.
TEST_CASE("a filter that was sent to an entry contains every added id") {
  const auto filter = FilledFilter(7);
  const id_filter received{filter.bytes(), 7};
  CHECK(received == filter);
  for (int number = 0; number < kIds; ++number) {
    REQUIRE(received.MayContain(Id(number)));
  }
}

// Guards against a filter so full that the entries forward the calls that they should refuse.
TEST_CASE("a filter of 16,000 ids takes 20 KB and contains one in a hundred other ids") {
  const auto filter = FilledFilter(7);
  CHECK(filter.bytes().size() < 20'100);
  int found = 0;
  for (int number = kIds; number < 11 * kIds; ++number) {
    found += filter.MayContain(Id(number)) ? 1 : 0;
  }
  CHECK(found < 10 * kIds / 100);
}

// Guards against a job whose calls are forwarded under each version of the filter.
TEST_CASE("filters with different seeds have different false positives") {
  const auto first = FilledFilter(1);
  const auto second = FilledFilter(2);
  int in_both = 0;
  for (int number = kIds; number < 6 * kIds; ++number) {
    in_both += first.MayContain(Id(number)) && second.MayContain(Id(number)) ? 1 : 0;
  }
  CHECK(in_both < 5 * kIds / 1'000);
}

// Guards against a division by zero, and against refusals by a filter that a peer cut short.
TEST_CASE("a filter without bytes contains every id") {
  const id_filter filter{std::string{}, 1};
  CHECK(filter.MayContain("a"));
}

}  // namespace rosearch::admission
