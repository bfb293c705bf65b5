#include "rosearch/cell/advice_desk.h"

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

/// Questions that come again every two seconds for each of so many steps, as tickets expire.
struct load_of_steps {
  int steps{0};
  std::uint32_t priority{0};
};

/// Asks at seven processes for half a minute, two of them for quick questions only.
/// @return the longest that a question of the least urgent load waited for a process.
duration LongestWait(const std::vector<load_of_steps>& loads) {
  advice_desk desk;
  desk.SetHelpers({"", "1", "2", "3", "4", "5", "6"});
  const auto least = std::ranges::max(loads, {}, &load_of_steps::priority).priority;
  std::map<std::string, time_point> busy_until;
  std::map<std::string, time_point> asked;
  std::map<std::string, time_point> ask_at;
  std::map<std::string, std::uint32_t> priority;
  for (const auto& load : loads) {
    for (int at = 0; at < load.steps; ++at) {
      const auto step = std::to_string(load.priority) + '.' + std::to_string(at);
      ask_at[step] = kStart + milliseconds{at * 2'000 / load.steps};
      priority[step] = load.priority;
    }
  }
  duration longest{};
  const auto wait = [&](const std::string& step, time_point now) {
    if (priority[step] == least) {
      longest = std::max(longest, now - asked[step]);
    }
  };
  const auto end = kStart + std::chrono::seconds{30};
  for (auto now = kStart; now < end; now += milliseconds{10}) {
    std::erase_if(busy_until, [&](const auto& each) {
      if (each.second <= now) {
        desk.Done(each.first);
      }
      return each.second <= now;
    });
    for (auto& [step, at] : ask_at) {
      if (at <= now && !asked.contains(step)) {
        auto query = Query(step, false);
        query.priority = priority[step];
        desk.Add(std::move(query), now);
        asked[step] = now;
      }
    }
    while (const auto next = desk.Next(now)) {
      busy_until[next->helper] = now + CostOf(next->query);
      wait(next->query.step, now);
      asked.erase(next->query.step);
      ask_at[next->query.step] = now + std::chrono::seconds{2};
    }
  }
  for (const auto& [step, at] : asked) {
    wait(step, end);
  }
  return longest;
}

}  // namespace

TEST_CASE("each process asks one question at a time") {
  advice_desk desk;
  desk.SetHelpers({"", "b"});
  desk.Add(Query("1", true), kStart);
  desk.Add(Query("2", true), kStart);
  desk.Add(Query("3", true), kStart);
  CHECK(desk.Next(kStart)->helper.empty());
  CHECK(desk.Next(kStart)->helper == "b");
  CHECK_FALSE(desk.Next(kStart));
  desk.Done("b");
  CHECK(desk.Next(kStart)->query.step == "3");
}

// Long work comes in a burst; its questions take half a second each. An urgent step that had to
// wait behind one would be late before it starts.
TEST_CASE("long questions never take the last processes") {
  advice_desk desk;
  desk.SetHelpers({"", "b", "c"});
  for (int at = 0; at < 5; ++at) {
    desk.Add(Query("long" + std::to_string(at), false), kStart);
  }
  CHECK(desk.Next(kStart));
  CHECK(desk.Next(kStart));
  CHECK_FALSE(desk.Next(kStart));
  desk.Add(Query("urgent", true), kStart);
  CHECK(desk.Next(kStart)->query.step == "urgent");
}

TEST_CASE("a process alone asks everything, the urgent first") {
  advice_desk desk;
  desk.SetHelpers({""});
  desk.Add(Query("long", false), kStart);
  desk.Add(Query("urgent", true), kStart);
  CHECK(desk.Next(kStart)->query.step == "urgent");
  desk.Done("");
  CHECK(desk.Next(kStart)->query.step == "long");
}

// A burst of quick and long jobs together at seven processes, 27 quick and 3 long questions a
// second: with one process that asks in order of arrival, a quick question waits for 1.4 s in the
// mean.
TEST_CASE("under a burst urgent questions wait less than their own cost") {
  advice_desk desk;
  std::vector<std::string> helpers{""};
  for (int at = 1; at < 7; ++at) {
    helpers.push_back(std::to_string(at));
  }
  desk.SetHelpers(helpers);
  std::map<std::string, duration> busy_until;
  std::map<std::string, duration> added;
  duration waited{};
  int urgent = 0;
  for (duration now{}; now < std::chrono::seconds{20}; now += milliseconds{1}) {
    for (auto& [helper, until] : busy_until) {
      if (until != duration{} && until <= now) {
        desk.Done(helper);
        until = duration{};
      }
    }
    const auto ms = now / milliseconds{1};
    for (const auto& [every, is_urgent] : {std::pair{37, true}, std::pair{330, false}}) {
      if (ms % every == 0) {
        const auto step = std::to_string(ms) + (is_urgent ? "u" : "l");
        added[step] = now;
        desk.Add(Query(step, is_urgent), kStart + now);
      }
    }
    while (const auto next = desk.Next(kStart + now)) {
      busy_until[next->helper] = now + CostOf(next->query);
      if (next->query.priority == 0) {
        waited += now - added[next->query.step];
        ++urgent;
      }
    }
  }
  REQUIRE(urgent > 400);
  CHECK(waited / urgent < milliseconds{26});
}

// Steps that find no room ask again each time their tickets expire, and by themselves they keep all
// processes busy. A caller with work of lower priority sees a job that never starts, in a cell with
// room for all of it.
TEST_CASE("no question waits for ever behind more urgent ones that keep coming") {
  CHECK(LongestWait({{30, 1}, {5, 2}}) < std::chrono::seconds{6});
}

TEST_CASE("a more urgent question still goes first among those that came together") {
  advice_desk desk;
  desk.SetHelpers({""});
  auto late = Query("late", false);
  auto soon = Query("soon", false);
  soon.priority = 1;
  desk.Add(late, kStart);
  desk.Add(soon, kStart + advice_desk::kPutOff / 2);
  CHECK(desk.Next(kStart + advice_desk::kPutOff)->query.step == "soon");
}

// The scheduler takes an answer for lost that was only slow and asks again, while the first
// question still waits for a process. Asked twice, it would cost the others their turn.
TEST_CASE("a question asked again takes the place of the one that waits") {
  advice_desk desk;
  desk.SetHelpers({""});
  desk.Add(Query("first", false), kStart);
  desk.Add(Query("second", false), kStart + milliseconds{1});
  desk.Add(Query("first", false), kStart + milliseconds{2});
  CHECK(desk.Waiting() == 2);
  CHECK(desk.Next(kStart)->query.step == "first");
}

// A process is asked and its answer is lost on the way. Taken for busy for ever, it would ask
// nothing more, and with the last process gone no long job would start again.
TEST_CASE("a process whose answer is lost is asked again after a while") {
  advice_desk desk;
  desk.SetHelpers({""});
  desk.Add(Query("lost", false), kStart);
  const auto lost = desk.Next(kStart);
  REQUIRE(lost);
  desk.Add(Query("next", false), kStart);
  const auto back_at = kStart + CostOf(lost->query) + advice_desk::kAnswerGrace;
  CHECK_FALSE(desk.Next(back_at - milliseconds{1}));
  CHECK(desk.Next(back_at)->query.step == "next");
}

}  // namespace rosearch::cell
