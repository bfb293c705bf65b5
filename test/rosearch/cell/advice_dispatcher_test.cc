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
  std::map<std::string, std::pair<time_point, advice_dispatcher::assignment>> busy_until;
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
      return each.second.first <= now && dispatcher.OnEnd(each.second.second, true, now);
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
      busy_until[next->helper] = {now + QueryCost(next->query), *next};
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
  const auto second = dispatcher.TakeNext(kStart);
  CHECK(second->helper == "b");
  CHECK_FALSE(dispatcher.TakeNext(kStart));
  CHECK(dispatcher.OnEnd(*second, true, kStart));
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
  const auto urgent = dispatcher.TakeNext(kStart);
  CHECK(urgent->query.step == "urgent");
  CHECK(dispatcher.OnEnd(*urgent, true, kStart));
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
  std::map<std::string, std::pair<duration, advice_dispatcher::assignment>> busy_until;
  std::map<std::string, duration> added;
  duration waited{};
  int urgent = 0;
  for (duration now{}; now < std::chrono::seconds{20}; now += milliseconds{1}) {
    std::erase_if(busy_until, [&](const auto& each) {
      return each.second.first <= now && dispatcher.OnEnd(each.second.second, true, kStart + now);
    });
    const auto ms = now / milliseconds{1};
    for (const auto& [interval_ms, is_urgent] : {std::pair{37, true}, std::pair{330, false}}) {
      if (ms % interval_ms == 0) {
        const auto step = std::to_string(ms) + (is_urgent ? "u" : "l");
        added[step] = now;
        dispatcher.Add(Query(step, is_urgent), kStart + now);
      }
    }
    while (const auto next = dispatcher.TakeNext(kStart + now)) {
      busy_until[next->helper] = {now + QueryCost(next->query), *next};
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
  std::map<std::string, advice_dispatcher::assignment> sent;
  while (const auto next = dispatcher.TakeNext(kStart)) {
    sent[next->helper] = *next;
  }
  CHECK(dispatcher.CountLongSlots(kStart) == 3);
  CHECK(dispatcher.OnEnd(sent.at("2"), true, kStart));
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
  const auto back_at =
      kStart + QueryCost(lost->query) + sched::kMaxAdviceDelay + advice_dispatcher::kEndGracePeriod;
  CHECK_FALSE(dispatcher.TakeNext(back_at - milliseconds{1}));
  CHECK(dispatcher.TakeNext(back_at)->query.step == "next");
}

namespace {

/// An advice service that works on one query at a time, whichever process sent it, and also on
/// those that were given up.
struct shared_service {
  time_point free_at{};

  /// @return when a query that arrives now is answered.
  time_point Accept(const sched::advice_query& query, time_point now) {
    free_at = std::max(free_at, now) + QueryCost(query);
    return free_at;
  }
};

/// Sends long queries of this many steps at once through seven processes; a step whose query ends
/// without an answer repeats it after 250 ms.
/// @return when the last step had its answer; `kNever` if that takes over a minute.
time_point LastAnswer(int steps, duration service_stops_for) {
  advice_dispatcher dispatcher;
  dispatcher.SetHelpers({"", "1", "2", "3", "4", "5", "6"});
  shared_service service{kStart + service_stops_for};
  struct exchange {
    advice_dispatcher::assignment sent;
    time_point answered_at{};
    time_point given_up_at{};
  };
  std::vector<exchange> exchanges;
  std::map<std::string, time_point> ask_at;
  for (int at = 0; at < steps; ++at) {
    ask_at[std::to_string(at)] = kStart;
  }
  for (auto now = kStart; now < kStart + std::chrono::minutes{1}; now += milliseconds{10}) {
    std::erase_if(exchanges, [&](const exchange& each) {
      const bool answered = each.answered_at <= now;
      if (!answered && each.given_up_at > now) {
        return false;
      }
      const auto& step = each.sent.query.step;
      if (dispatcher.OnEnd(each.sent, answered, now)) {
        ask_at[step] = answered ? kNever : now + milliseconds{250};
      }
      return true;
    });
    if (std::ranges::all_of(ask_at, [](const auto& each) { return each.second == kNever; }) &&
        exchanges.empty()) {
      return now;
    }
    for (auto& [step, at] : ask_at) {
      if (at <= now) {
        dispatcher.Add(Query(step, false), now);
        at = kNever - milliseconds{1};
      }
    }
    while (const auto next = dispatcher.TakeNext(now)) {
      exchanges.push_back({*next, service.Accept(next->query, now),
                           now + QueryCost(next->query) + sched::kMaxAdviceDelay});
    }
  }
  return kNever;
}

}  // namespace

// Guards against a service that works for nothing but queries which were given up and sent again,
// so that no step gets an answer although the service could serve them all.
TEST_CASE("queries to a service that serves one process at a time are all answered") {
  constexpr int kSteps = 20;
  const auto alone = QueryCost(Query("", false)) * kSteps;
  CHECK(LastAnswer(kSteps, {}) - kStart < alone * 3 / 2);
}

TEST_CASE("queries that waited for a stopped service are answered once it is back") {
  constexpr int kSteps = 10;
  const auto alone = QueryCost(Query("", false)) * kSteps;
  CHECK(LastAnswer(kSteps, std::chrono::seconds{3}) - kStart <
        std::chrono::seconds{3} + alone * 3 / 2);
}

// Guards against a step whose queries all go to the one process that can't reach the service, while
// the others are idle.
TEST_CASE("a query without an answer goes to another process") {
  advice_dispatcher dispatcher;
  dispatcher.SetHelpers({"", "1", "2"});
  dispatcher.Add(Query("a", false), kStart);
  const auto silent = dispatcher.TakeNext(kStart);
  REQUIRE(silent);
  const auto late_at = kStart + QueryCost(silent->query) + advice_dispatcher::kLateAfter;
  CHECK_FALSE(dispatcher.TakeNext(late_at - milliseconds{1}));
  const auto second = dispatcher.TakeNext(late_at);
  REQUIRE(second);
  CHECK(second->hedge);
  CHECK(second->number == silent->number);
  CHECK(second->helper != silent->helper);
  CHECK_FALSE(dispatcher.TakeNext(late_at));
  CHECK(dispatcher.OnEnd(*second, true, late_at + milliseconds{500}));
  const auto given_up_at = kStart + QueryCost(silent->query) + sched::kMaxAdviceDelay;
  CHECK_FALSE(dispatcher.OnEnd(*silent, false, given_up_at));
  dispatcher.Add(Query("b", false), given_up_at);
  CHECK(dispatcher.TakeNext(given_up_at)->helper == second->helper);
}

TEST_CASE("a process that was late is used again after a pause, and at once if no other is free") {
  advice_dispatcher dispatcher;
  dispatcher.SetHelpers({"", "1", "2"});
  dispatcher.Add(Query("a", false), kStart);
  const auto first = dispatcher.TakeNext(kStart);
  const auto failed_at = kStart + milliseconds{100};
  CHECK(dispatcher.OnEnd(*first, false, failed_at));
  dispatcher.Add(Query("b", false), failed_at);
  const auto other = dispatcher.TakeNext(failed_at);
  CHECK(other->helper != first->helper);
  dispatcher.Add(Query("c", false), failed_at);
  const auto again = dispatcher.TakeNext(failed_at);
  REQUIRE(again);
  CHECK(again->helper == first->helper);
  CHECK(dispatcher.OnEnd(*again, false, failed_at));
  CHECK(dispatcher.OnEnd(*other, true, failed_at));
  const auto pause_over = failed_at + 2 * advice_dispatcher::kMinSilentPause;
  dispatcher.Add(Query("d", false), pause_over - milliseconds{1});
  const auto spared = dispatcher.TakeNext(pause_over - milliseconds{1});
  CHECK(spared->helper == other->helper);
  CHECK(dispatcher.OnEnd(*spared, true, pause_over - milliseconds{1}));
  dispatcher.Add(Query("e", false), pause_over);
  CHECK(dispatcher.TakeNext(pause_over)->helper == first->helper);
}

// Guards against two copies of a query where one answer serves the step.
TEST_CASE("a step whose query is in flight sends no second one") {
  advice_dispatcher dispatcher;
  dispatcher.SetHelpers({"", "1", "2"});
  dispatcher.Add(Query("a", false), kStart);
  const auto sent = dispatcher.TakeNext(kStart);
  dispatcher.Add(Query("a", false), kStart + milliseconds{10});
  CHECK(dispatcher.CountQueued() == 0);
  CHECK(dispatcher.OnEnd(*sent, true, kStart + milliseconds{20}));
  dispatcher.Add(Query("a", false), kStart + milliseconds{30});
  CHECK(dispatcher.CountQueued() == 1);
}

}  // namespace rosearch::cell
