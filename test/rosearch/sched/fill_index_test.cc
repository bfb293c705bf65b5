#include "rosearch/sched/fill_index.h"

#include <catch2/catch.hpp>
#include <list>
#include <string>
#include <vector>

namespace rosearch::sched {
namespace {

struct index_fixture {
  worker_state& Add(const std::string& id, std::int64_t used, std::int64_t capacity = 16'000,
                    const std::string& pool = "pool") {
    auto& made = workers.emplace_back();
    made.facts.id = id;
    made.facts.pool = pool;
    made.facts.capacity = {capacity, 32'768, 0};
    made.used.processors_milli = used;
    index.Update(made);
    return made;
  }
  std::vector<std::string> Open(std::int64_t wanted, bool emptiest_first, std::size_t most = 100) {
    std::vector<std::string> ids;
    index.VisitOpen("pool", wanted, emptiest_first, [&](const worker_state& each) {
      ids.push_back(each.facts.id);
      return ids.size() < most;
    });
    return ids;
  }
  std::vector<std::string> Full(std::int64_t wanted) {
    std::vector<std::string> ids;
    index.VisitFull("pool", wanted, [&](const worker_state& each) {
      ids.push_back(each.facts.id);
      return true;
    });
    return ids;
  }

  std::list<worker_state> workers;
  fill_index index;
};

using ids = std::vector<std::string>;

}  // namespace

TEST_CASE("workers with room are visited in order of fill until the visitor stops") {
  index_fixture cell;
  cell.Add("half", 8'000);
  cell.Add("empty", 0);
  cell.Add("nearly", 15'000);
  cell.Add("full", 16'000);
  cell.Add("elsewhere", 0, 16'000, "other");
  CHECK(cell.Open(1'000, true) == ids{"empty", "half", "nearly"});
  CHECK(cell.Open(1'000, false) == ids{"nearly", "half", "empty"});
  CHECK(cell.Open(1'000, true, 2) == ids{"empty", "half"});
  CHECK(cell.Open(16'000, true) == ids{"empty"});
  CHECK(cell.Full(8'000) == ids{"nearly", "full"});
}

// A worker that the search misses is never used: tasks that fit only there would wait forever.
TEST_CASE("a worker with exactly the room requested is open, also beside larger workers") {
  index_fixture cell;
  cell.Add("small", 3'001, 7'001);
  cell.Add("large", 28'000, 32'000);
  CHECK(cell.Open(4'000, false) == ids{"large", "small"});
}

TEST_CASE("a worker is reindexed when its use, capacity or pool changes, and can be removed") {
  index_fixture cell;
  auto& moves = cell.Add("moves", 0);
  auto& stays = cell.Add("stays", 4'000);
  CHECK(cell.Open(1'000, true) == ids{"moves", "stays"});
  moves.used.processors_milli = 8'000;
  cell.index.Update(moves);
  CHECK(cell.Open(1'000, true) == ids{"stays", "moves"});
  stays.facts.capacity.processors_milli = 4'000;
  cell.index.Update(stays);
  CHECK(cell.Open(1'000, true) == ids{"moves"});
  moves.facts.pool = "other";
  cell.index.Update(moves);
  CHECK(cell.Open(1'000, true).empty());
  CHECK(cell.index.Size("pool") == 1);
  cell.index.Remove(stays);
  cell.index.Remove(stays);
  CHECK(cell.index.Size("pool") == 0);
}

}  // namespace rosearch::sched
