#include "rosearch/cell/advice_dispatcher.h"

#include <catch2/catch.hpp>
#include <map>

namespace rosearch::cell {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

sched::advice_query Query(const std::string& step, bool urgent) {
  sched::advice_query query;
  query.step = step;
  query.workers.resize(30);
  query.priority = urgent ? 0 : 2;
  query.cost = urgent ? sched::advice_cost{milliseconds{18}, microseconds{260}, {}}
                      : sched::advice_cost{milliseconds{370}, microseconds{5'300}, {}};
  return query;
}

constexpr time_point kStart{std::chrono::hours{1}};

/// Steps that each repeat an advice query 2 s after the previous one was sent, as tickets expire.
struct query_load {
  int steps{0};
  std::uint32_t priority{0};
};

/// Simulates 30 s of advice queries on seven processes, two of them for cheap queries only.
/// @return the longest time that a query of the lowest priority waited for a process.
duration LongestWait(const std::vector<query_load>& loads) {
  advice_dispatcher dispatcher;
  dispatcher.SetHelpers({"", "1", "2", "3", "4", "5", "6"});
  const auto lowest_priority = std::ranges::max(loads, {}, &query_load::priority).priority;
  std::map<std::string, time_point> busy_until;
  std::map<std::string, time_point> pending_since;
  std::map<std::string, time_point> next_query_at;
  std::map<std::string, std::uint32_t> priority;
  for (const auto& load : loads) {
    for (int at = 0; at < load.steps; ++at) {
      const auto step = std::to_string(load.priority) + '.' + std::to_string(at);
      next_query_at[step] = kStart + milliseconds{at * 2'000 / load.steps};
      priority[step] = load.priority;
    }
  }
  duration longest{};
  const auto record_wait = [&](const std::string& step, time_point now) {
    if (priority[step] == lowest_priority) {
      longest = std::max(longest, now - pending_since[step]);
    }
  };
  const auto end = kStart + std::chrono::seconds{30};
  for (auto now = kStart; now < end; now += milliseconds{10}) {
    std::erase_if(busy_until, [&](const auto& each) {
      if (each.second <= now) {
        dispatcher.ReleaseHelper(each.first);
      }
      return each.second <= now;
    });
    for (auto& [step, at] : next_query_at) {
      if (at <= now && !pending_since.contains(step)) {
        auto query = Query(step, false);
        query.priority = priority[step];
        dispatcher.Add(std::move(query), now);
        pending_since[step] = now;
      }
    }
    while (const auto next = dispatcher.TakeNext(now)) {
      busy_until[next->helper] = now + QueryCost(next->query);
      record_wait(next->query.step, now);
      pending_since.erase(next->query.step);
      next_query_at[next->query.step] = now + std::chrono::seconds{2};
    }
  }
  for (const auto& [step, at] : pending_since) {
    record_wait(step, end);
  }
  return longest;
}

}  // namespace

TEST_CASE("each process sends one advice query at a time") {
  advice_dispatcher dispatcher;
  dispatcher.SetHelpers({"", "b"});
  dispatcher.Add(Query("1", true), kStart);
  dispatcher.Add(Query("2", true), kStart);
  dispatcher.Add(Query("3", true), kStart);
  CHECK(dispatcher.TakeNext(kStart)->helper.empty());
  CHECK(dispatcher.TakeNext(kStart)->helper == "b");
  CHECK_FALSE(dispatcher.TakeNext(kStart));
  dispatcher.ReleaseHelper("b");
  CHECK(dispatcher.TakeNext(kStart)->query.step == "3");
}

// The queries of a burst of long jobs take half a second each. An urgent step whose query waits
// behind one would miss its target before it starts.
TEST_CASE("expensive queries never occupy the last processes") {
  advice_dispatcher dispatcher;
  dispatcher.SetHelpers({"", "b", "c"});
  for (int at = 0; at < 5; ++at) {
    dispatcher.Add(Query("long" + std::to_string(at), false), kStart);
  }
  CHECK(dispatcher.TakeNext(kStart));
  CHECK(dispatcher.TakeNext(kStart));
  CHECK_FALSE(dispatcher.TakeNext(kStart));
  dispatcher.Add(Query("urgent", true), kStart);
  CHECK(dispatcher.TakeNext(kStart)->query.step == "urgent");
}

TEST_CASE("a single process sends all queries, urgent ones first") {
  advice_dispatcher dispatcher;
  dispatcher.SetHelpers({""});
  dispatcher.Add(Query("long", false), kStart);
  dispatcher.Add(Query("urgent", true), kStart);
  CHECK(dispatcher.TakeNext(kStart)->query.step == "urgent");
  dispatcher.ReleaseHelper("");
  CHECK(dispatcher.TakeNext(kStart)->query.step == "long");
}

// A mixed burst of 27 cheap and 3 expensive queries per second on seven processes. A single process
// that sends them in order of arrival makes a cheap query wait for 1.4 s on average.
TEST_CASE("under a burst urgent queries wait less than their own cost") {
  advice_dispatcher dispatcher;
  std::vector<std::string> helpers{""};
  for (int at = 1; at < 7; ++at) {
    helpers.push_back(std::to_string(at));
  }
  dispatcher.SetHelpers(helpers);
  std::map<std::string, duration> busy_until;
  std::map<std::string, duration> added;
  duration waited{};
  int urgent = 0;
  for (duration now{}; now < std::chrono::seconds{20}; now += milliseconds{1}) {
    for (auto& [helper, until] : busy_until) {
      if (until != duration{} && until <= now) {
        dispatcher.ReleaseHelper(helper);
        until = duration{};
      }
    }
    const auto ms = now / milliseconds{1};
    for (const auto& [interval_ms, is_urgent] : {std::pair{37, true}, std::pair{330, false}}) {
      if (ms % interval_ms == 0) {
        const auto step = std::to_string(ms) + (is_urgent ? "u" : "l");
        added[step] = now;
        dispatcher.Add(Query(step, is_urgent), kStart + now);
      }
    }
    while (const auto next = dispatcher.TakeNext(kStart + now)) {
      busy_until[next->helper] = now + QueryCost(next->query);
      if (next->query.priority == 0) {
        waited += now - added[next->query.step];
        ++urgent;
      }
    }
  }
  REQUIRE(urgent > 400);
  CHECK(waited / urgent < milliseconds{26});
}

// Steps that find no room repeat their queries each time their tickets expire and keep all
// processes busy. Without aging, a job of lower priority would never start although the cell has
// room for it.
TEST_CASE("no question waits for ever behind more urgent ones that keep coming") {
  CHECK(LongestWait({{30, 1}, {5, 2}}) < std::chrono::seconds{6});
}

TEST_CASE("a more urgent query goes first among those that arrive together") {
  advice_dispatcher dispatcher;
  dispatcher.SetHelpers({""});
  auto late = Query("late", false);
  auto soon = Query("soon", false);
  soon.priority = 1;
  dispatcher.Add(late, kStart);
  dispatcher.Add(soon, kStart + advice_dispatcher::kDelayPerPriorityLevel / 2);
  CHECK(dispatcher.TakeNext(kStart + advice_dispatcher::kDelayPerPriorityLevel)->query.step ==
        "soon");
}

// The scheduler times out and repeats a query that still waits for a process. Sending both copies
// would delay the queries of other steps.
TEST_CASE("a repeated query replaces the one that waits") {
  advice_dispatcher dispatcher;
  dispatcher.SetHelpers({""});
  dispatcher.Add(Query("first", false), kStart);
  dispatcher.Add(Query("second", false), kStart + milliseconds{1});
  dispatcher.Add(Query("first", false), kStart + milliseconds{2});
  CHECK(dispatcher.CountQueued() == 2);
  CHECK(dispatcher.TakeNext(kStart)->query.step == "first");
}

TEST_CASE("long queries have as many slots as processes are free for them") {
  advice_dispatcher dispatcher;
  CHECK(dispatcher.CountLongSlots(kStart) == 0);
  dispatcher.SetHelpers({"", "1", "2", "3", "4", "5"});  // two send no long queries
  CHECK(dispatcher.CountLongSlots(kStart) == 4);
  dispatcher.Add(Query("a", false), kStart);
  dispatcher.Add(Query("quick", true), kStart);
  CHECK(dispatcher.CountLongSlots(kStart) == 3);
  while (dispatcher.TakeNext(kStart)) {
  }
  CHECK(dispatcher.CountLongSlots(kStart) == 3);
  dispatcher.ReleaseHelper("2");
  CHECK(dispatcher.CountLongSlots(kStart) == 4);
}

// The answer of a process is lost. If the process stayed marked as busy, it would send no further
// query, and once this had happened to all processes no long job would start.
TEST_CASE("a process whose answer is lost is used again after a grace period") {
  advice_dispatcher dispatcher;
  dispatcher.SetHelpers({""});
  dispatcher.Add(Query("lost", false), kStart);
  const auto lost = dispatcher.TakeNext(kStart);
  REQUIRE(lost);
  dispatcher.Add(Query("next", false), kStart);
  const auto back_at = kStart + QueryCost(lost->query) + advice_dispatcher::kAnswerGracePeriod;
  CHECK_FALSE(dispatcher.TakeNext(back_at - milliseconds{1}));
  CHECK(dispatcher.TakeNext(back_at)->query.step == "next");
}

}  // namespace rosearch::cell
