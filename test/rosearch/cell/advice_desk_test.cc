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

}  // namespace

TEST_CASE("each process asks one question at a time") {
  advice_desk desk;
  desk.SetHelpers({"", "b"});
  desk.Add(Query("1", true));
  desk.Add(Query("2", true));
  desk.Add(Query("3", true));
  CHECK(desk.Next()->helper.empty());
  CHECK(desk.Next()->helper == "b");
  CHECK_FALSE(desk.Next());
  desk.Done("b");
  CHECK(desk.Next()->query.step == "3");
}

// Long work comes in a burst; its questions take half a second each. An urgent step that had to
// wait behind one would be late before it starts.
TEST_CASE("long questions never take the last processes") {
  advice_desk desk;
  desk.SetHelpers({"", "b", "c"});
  for (int at = 0; at < 5; ++at) {
    desk.Add(Query("long", false));
  }
  CHECK(desk.Next());
  CHECK(desk.Next());
  CHECK_FALSE(desk.Next());
  desk.Add(Query("urgent", true));
  CHECK(desk.Next()->query.step == "urgent");
}

TEST_CASE("a process alone asks everything, the urgent first") {
  advice_desk desk;
  desk.SetHelpers({""});
  desk.Add(Query("long", false));
  desk.Add(Query("urgent", true));
  CHECK(desk.Next()->query.step == "urgent");
  desk.Done("");
  CHECK(desk.Next()->query.step == "long");
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
        desk.Add(Query(step, is_urgent));
      }
    }
    while (const auto next = desk.Next()) {
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

}  // namespace rosearch::cell
