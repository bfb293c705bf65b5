#include <catch2/catch.hpp>

#include "rosearch/ownership/assignment_chain.h"

namespace rosearch {

TEST_CASE("assignments and parties survive the wire") {
  const party owner{entry_id{"a"}, 7};
  for (const auto& witness : {std::optional<party>{}, std::optional{party{entry_id{"b"}, 8}}}) {
    const assignment value{3, 5, 4, owner, witness};
    CHECK(FromWire(ToWire(value)) == value);
  }
}

// Two entries claim a shard at the same moment, or an appender repeats a record whose answer was
// lost. Were readers to differ on which one holds, both claimants would collect consents.
TEST_CASE("a record that does not follow is void", "[single-run][no-overcommit]") {
  const party a{entry_id{"a"}, 1};
  const party b{entry_id{"b"}, 1};
  struct row {
    assignment next;
    bool valid;
  };
  const row rows[]{
      {{1, 2, 1, a, {}}, false},   // before the first
      {{1, 1, 0, a, b}, true},     //
      {{1, 1, 0, a, b}, false},    // the same once more
      {{1, 1, 0, b, {}}, false},   // lost the race
      {{1, 3, 1, b, {}}, false},   // raises by two
      {{1, 3, 2, b, {}}, false},   // names a previous epoch that isn't there
      {{2, 2, 1, b, {}}, false},   // another shard
      {{1, 2, 1, {}, {}}, false},  // no owner
      {{1, 2, 1, b, b}, false},    // its own witness
      {{1, 2, 1, b, a}, true},     //
  };
  assignment_chain chain{1};
  for (const auto& row : rows) CHECK(chain.Apply(row.next) == row.valid);
  CHECK(chain.newest() == assignment{1, 2, 1, b, a});

  assignment_chain later{1};
  CHECK(later.Load({1, 9, 8, a, {}}));
  CHECK_FALSE(later.Load({1, 10, 9, a, {}}));
  CHECK(later.Apply({1, 10, 9, b, {}}));
  later.Settle(10);
  CHECK(later.history().size() == 1);
}

}  // namespace rosearch
