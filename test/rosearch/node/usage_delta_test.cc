#include "rosearch/node/usage_delta.h"

#include <catch2/catch.hpp>
#include <map>
#include <string>
#include <vector>

#include "rosearch/capacity/amounts.h"

namespace rosearch {
namespace {

using use = std::map<std::string, resources>;

use ToUse(const std::vector<wire::customer_usage>& rows) {
  use all;
  for (const auto& row : rows) {
    all[row.customer()] = internal::FromWire(row.committed());
  }
  return all;
}

}  // namespace

TEST_CASE("heartbeats tell what has changed, and now and then everything") {
  usage_teller teller;
  const time_point start{std::chrono::hours{1}};
  const use first{{"a", {1, 1, 0}}, {"b", {2, 2, 0}}};
  CHECK(ToUse(teller.Next(first, start)) == first);
  CHECK(teller.Next(first, start + std::chrono::seconds{1}).empty());

  const use second{{"a", {3, 1, 0}}};
  CHECK(ToUse(teller.Next(second, start + std::chrono::seconds{2})) ==
        use{{"a", {3, 1, 0}}, {"b", {}}});
  CHECK(teller.Next(second, start + usage_teller::kWholeEvery).size() == 2);

  teller.TellAll();
  CHECK(teller.Next(second, start + std::chrono::seconds{6}).size() == 2);
}

// A heartbeat that told of a change is lost, or its sender was restarted. A customer would be held
// to a quota that it no longer uses, or be let beyond it, for as long as the old row stays.
TEST_CASE("what was told is put right after lost heartbeats and restarts") {
  usage_teller teller;
  usage_memory memory;
  const party sender{entry_id{"entry-1"}, 1};
  const time_point start{std::chrono::hours{1}};
  const use first{{"a", {1, 1, 0}}, {"b", {2, 2, 0}}};
  const use second{{"a", {5, 1, 0}}};
  CHECK(ToUse(memory.Take(sender, teller.Next(first, start))) == first);
  (void)teller.Next(second, start + std::chrono::seconds{1});
  CHECK(ToUse(memory.Take(sender, {})) == first);
  CHECK(ToUse(memory.Take(sender, teller.Next(second, start + usage_teller::kWholeEvery))) ==
        second);
  CHECK(memory.Take({entry_id{"entry-1"}, 2}, {}).empty());
  CHECK(memory.Take(sender, teller.Next(first, start)).empty());
}

}  // namespace rosearch
