#include <catch2/catch.hpp>
#include <csignal>
#include <future>
#include <string>
#include <vector>

#include "process/cell.h"

namespace rosearch::test {
namespace {

// A caller that gets no answer in time sends its order again, through another entry of the
// balancer, while the first copy is still at the executor. A second run would deliver and bill the
// order twice; two different answers would leave the caller with either.
TEST_CASE("an order repeated at all entries at once runs once", "[at-most-once][single-run]") {
  cell cell;
  const auto issued = UnixMs();
  std::vector<std::future<reply>> answers;
  answers.reserve(10);
  for (int copy = 0; copy < 10; ++copy) {
    answers.push_back(cell.Order(1 + copy % 3, "order-1", issued, R"({"run_ms": 300})"));
  }
  const auto first = answers.front().get();
  INFO(ToText(first));
  CHECK(first.status == 200);
  CHECK(first.outcome == "done");
  for (std::size_t copy = 1; copy < answers.size(); ++copy) {
    const auto other = answers[copy].get();
    INFO(ToText(other));
    CHECK(other.body == first.body);
    CHECK(other.outcome == first.outcome);
  }
  CHECK(cell.Runs("order-1") == 1);
}

}  // namespace
}  // namespace rosearch::test
