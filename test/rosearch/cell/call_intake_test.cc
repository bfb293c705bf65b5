#include "rosearch/cell/call_intake.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <functional>
#include <queue>
#include <string>
#include <vector>

#include "rosearch/cell/fake_ports.h"

namespace rosearch::cell {
namespace {

using std::chrono::seconds;

const time_point kStart{seconds{100}};

struct replayed_caller {
  std::string job;
  time_point came{};
  time_point served{};
  int attempts{0};
};

/// Uses up the first slice.
/// @return its end.
time_point FillSlice(call_intake& intake) {
  intake.BeginSlice(kStart);
  for (std::size_t number = 0; number < call_intake::kMinCallsPerSlice; ++number) {
    REQUIRE(intake.OnCall("handled", true, kStart) == call_turn::kNow);
    intake.OnHandled();
  }
  return kStart + call_intake::kSliceTime;
}

/// @return when a refused caller is to come back, given its job and the time.
using retry_rule = std::function<seconds(const std::string&, time_point)>;

/// Replays an outage from `kStart` on with 30 new callers per second, who retry four times at most.
std::vector<replayed_caller> ReplayOutage(duration length, const retry_rule& retry_after) {
  constexpr int kRate = 30;
  constexpr int kMaxAttempts = 5;
  std::vector<replayed_caller> callers;
  using attempt = std::pair<time_point, std::size_t>;
  std::priority_queue<attempt, std::vector<attempt>, std::greater<>> attempts;
  for (int number = 0; number * milliseconds{1'000} / kRate < length; ++number) {
    const auto came = kStart + number * milliseconds{1'000} / kRate;
    attempts.emplace(came, callers.size());
    callers.push_back({"job-" + std::to_string(number), came});
  }
  while (!attempts.empty()) {
    const auto [now, number] = attempts.top();
    attempts.pop();
    auto& caller = callers[number];
    ++caller.attempts;
    if (now >= kStart + length) {
      caller.served = now;
    } else if (caller.attempts < kMaxAttempts) {
      attempts.emplace(now + retry_after(caller.job, now), number);
    }
  }
  return callers;
}

std::vector<replayed_caller> ReplayWithIntake(duration length, duration objective) {
  call_intake intake;
  return ReplayOutage(length, [&](const std::string& job, time_point now) {
    intake.OnStoreAway(kStart, now);
    return seconds{intake.RetryAfterOutage(job, objective, now, now)};
  });
}

std::size_t CountServed(const std::vector<replayed_caller>& callers, duration within) {
  return static_cast<std::size_t>(std::ranges::count_if(callers, [&](const auto& caller) {
    return caller.served != time_point{} && caller.served - caller.came <= within;
  }));
}

}  // namespace

TEST_CASE("calls are handled at once while the slice has time, then in slices") {
  call_intake intake;
  const auto later = FillSlice(intake);
  CHECK(intake.OnCall("b", true, later) == call_turn::kInOrder);
  CHECK(intake.OnCall("c", false, later) == call_turn::kNext);
  CHECK(intake.CountWaiting() == 2);
  intake.BeginSlice(later);
  CHECK(intake.OnCall("d", true, later) == call_turn::kInOrder);
  CHECK_FALSE(intake.OnTaken("c", call_turn::kNext, later));
  CHECK_FALSE(intake.OnTaken("b", call_turn::kInOrder, later));
  CHECK_FALSE(intake.OnTaken("d", call_turn::kInOrder, later));
  CHECK(intake.CountWaiting() == 0);
}

// Guards against a queue in which every submission waits for longer than the target latency.
TEST_CASE("submissions beyond the measured time are refused, queries are not") {
  call_intake intake;
  auto now = FillSlice(intake);
  for (int number = 0; number < 20; ++number) {
    REQUIRE(intake.OnCall(std::to_string(number), true, now) == call_turn::kInOrder);
  }
  intake.BeginSlice(now);
  REQUIRE_FALSE(intake.OnTaken("0", call_turn::kInOrder, now));
  intake.OnHandled();
  now += milliseconds{4};  // one call took that long, with the other events
  intake.BeginSlice(now);
  CHECK(intake.ExpectedWait(now) == 19 * milliseconds{4});
  CHECK(intake.OnCall("new", true, now) == call_turn::kRefuse);
  CHECK(intake.OnCall("new", false, now) == call_turn::kNext);
  // A repeat of a waiting submission must not be refused, a cancel must not overtake it.
  CHECK(intake.OnCall("7", true, now) == call_turn::kInOrder);
  CHECK(intake.OnCall("7", false, now) == call_turn::kInOrder);
}

TEST_CASE("a submission that waited too long is refused when its turn comes") {
  call_intake intake;
  const auto now = FillSlice(intake);
  REQUIRE(intake.OnCall("a", true, now) == call_turn::kInOrder);
  CHECK(intake.OnTaken("a", call_turn::kInOrder, now + call_intake::kMaxWait + milliseconds{1}));
}

// Guards against a delay of the event loop that is reported as an absence of the store.
TEST_CASE("the age of an append excludes the delay of the event loop") {
  call_intake intake;
  intake.OnTick(kStart, kStart, kStart + milliseconds{50});
  const auto sent = intake.Mark(kStart);
  CHECK(intake.Age(sent, kStart + milliseconds{40}) == milliseconds{40});
  // A handler takes 700 ms; its delay counts before and after the tick that records it.
  CHECK(intake.Age(sent, kStart + milliseconds{750}) == milliseconds{50});
  intake.OnTick(kStart + milliseconds{50}, kStart + milliseconds{750}, kStart + milliseconds{800});
  CHECK(intake.Age(sent, kStart + milliseconds{790}) == milliseconds{90});
}

TEST_CASE("retry times are whole seconds within the time for which the job is of use") {
  call_intake intake;
  CHECK(intake.RetryAfter("a", milliseconds{20}, seconds{5}, kStart) == 1);
  CHECK(intake.RetryAfter("b", seconds{60}, seconds{2}, kStart) == 6);
  CHECK(intake.RetryAfter("b", seconds{60}, seconds{2}, kStart + seconds{3}) == 3);
  CHECK(intake.RetryAfter("b", seconds{60}, seconds{2}, kStart + seconds{30}) == 1);
  CHECK(intake.RetryAfter("c", seconds{60}, milliseconds{100}, kStart) == 1);
}

// Guards against refused callers that all retry at the same time.
TEST_CASE("retry times differ by the job's id and keep their mean") {
  call_intake intake;
  call_intake successor;
  constexpr int kCallers = 1'000;
  std::uint32_t sum = 0;
  for (int number = 0; number < kCallers; ++number) {
    const auto job = "job-" + std::to_string(number);
    const auto retry = intake.RetryAfter(job, milliseconds{2'500}, seconds{5}, kStart);
    CHECK((retry == 2 || retry == 3));
    CHECK(retry == successor.RetryAfter(job, milliseconds{2'500}, seconds{5}, kStart));
    sum += retry;
  }
  CHECK(sum > 2'400);
  CHECK(sum < 2'600);
}

TEST_CASE("callers of a busy leader return at the rate at which it accepts") {
  call_intake intake;
  auto now = kStart;
  for (int number = 0; number < 200; ++number) {
    now += milliseconds{20};
    intake.OnAccepted("queue", seconds{5}, now);
  }
  CHECK(intake.UsualObjective("queue") == seconds{5});
  std::vector<int> by_second(16);
  for (int number = 0; number < 200; ++number) {
    ++by_second.at(intake.RetryAfterBusy("job-" + std::to_string(number), seconds{5}, now));
  }
  // 50 per second are accepted. The first second has half, as others are rounded up.
  for (const int second : {2, 3, 4}) {
    CHECK(by_second.at(second) > 30);
    CHECK(by_second.at(second) < 70);
  }
}

// Guards against callers that have used up their retries when the store is back. Before, each of
// them came back after 1 s.
TEST_CASE("an outage of 6 s is survived by callers who retry four times") {
  constexpr seconds kOutage{6};
  const auto before =
      ReplayOutage(kOutage, [](const std::string&, time_point) { return seconds{1}; });
  const auto after = ReplayWithIntake(kOutage, seconds{4});
  CHECK(before.size() == 180);
  CHECK(CountServed(before, seconds{60}) == 120);
  CHECK(CountServed(after, seconds{60}) == 180);
  // Within three times the objective.
  CHECK(CountServed(before, seconds{12}) == 120);
  CHECK(CountServed(after, seconds{12}) == 180);
}

// Guards against retry times that are longer than what a short job's objective leaves.
TEST_CASE("callers of short jobs return while their jobs are of use") {
  const auto short_jobs = ReplayWithIntake(seconds{6}, milliseconds{1'300});
  const auto useful = milliseconds{3'900};
  const auto servable = std::ranges::count_if(
      short_jobs, [&](const auto& caller) { return caller.came + useful >= kStart + seconds{6}; });
  CHECK(servable == 117);
  CHECK(CountServed(short_jobs, useful) >= 85);
}

// Guards against a burst of returning callers, and against new callers who return before old ones.
TEST_CASE("callers return from an outage spread out and in the order in which they came") {
  const auto callers = ReplayWithIntake(seconds{6}, seconds{10});
  std::vector<time_point> served;
  int far_apart = 0;
  int inverted = 0;
  for (std::size_t at = 0; at < callers.size(); ++at) {
    REQUIRE(callers[at].served != time_point{});
    served.push_back(callers[at].served);
    for (std::size_t earlier = 0; earlier < at; ++earlier) {
      // Whole seconds on the wire and the jitter leave an error of 1.25 s, at half the spacing of
      // the arrivals.
      if (callers[at].came - callers[earlier].came > milliseconds{2'500}) {
        ++far_apart;
        inverted += callers[at].served < callers[earlier].served ? 1 : 0;
      }
    }
  }
  CHECK(far_apart > 5'000);
  CHECK(inverted == 0);
  std::ranges::sort(served);
  constexpr std::size_t kMaxInTenth = 18;  // of 180 callers
  for (std::size_t at = kMaxInTenth; at < served.size(); ++at) {
    CHECK(served[at] - served[at - kMaxInTenth] > milliseconds{100});
  }
}

// Guards against retry times that still grow with an outage that is over.
TEST_CASE("an outage that is over doesn't add to the next one") {
  call_intake intake;
  intake.OnStoreAway(kStart, kStart);
  intake.OnStoreAway(kStart, kStart + seconds{1});
  CHECK(intake.RetryAfterOutage("a", seconds{60}, kStart, kStart + milliseconds{1'500}) <= 2);
  const auto next = kStart + seconds{40};
  intake.OnStoreAway(next, next);
  CHECK(intake.RetryAfterOutage("b", seconds{60}, next, next) == 1);
  intake.OnStoreBack();
  intake.OnStoreAway(next + seconds{1}, next + seconds{1});
  CHECK(intake.RetryAfterOutage("c", seconds{60}, next + seconds{1}, next + seconds{1}) == 1);
}

// Guards against a burst during which the leader handles nothing but calls: its appends then time
// out although the store responds, and peers take its silence for a failure.
TEST_CASE("a burst beyond the leader's rate delays neither the store nor the workers") {
  leader_fixture cell{20};
  REQUIRE(cell.instance->Serving());
  cell.ports.decode_cost = milliseconds{2};
  const auto first = cell.SendCall("POST", "first", "job");
  const int appends = cell.ports.append_count;
  const int watches = cell.ports.watch_count;
  // 2 s of work arrive at once.
  constexpr int kCalls = 1'000;
  std::vector<std::shared_ptr<caller_answer>> answers;
  answers.reserve(kCalls);
  for (int number = 0; number < kCalls; ++number) {
    answers.push_back(cell.SendCall("POST", "job-" + std::to_string(number), "job"));
  }
  const auto query = cell.SendCall("GET", "first");
  const auto repeat = cell.SendCall("POST", "job-500", "job");
  cell.io.restart();
  while (answers.back()->status == 0 || repeat->status == 0) {
    cell.io.run_one();
  }
  CHECK(cell.ports.append_count > appends + 5);
  CHECK(cell.ports.watch_count > watches + 20);
  cell.Run(milliseconds{300});
  CHECK(first->status == 200);
  CHECK(query->status != 0);
  CHECK(repeat->status == answers[500]->status);
  const auto count = [&](unsigned status) {
    return std::ranges::count(answers, status, [](const auto& answer) { return answer->status; });
  };
  CHECK(count(200) > 20);
  CHECK(count(429) > kCalls / 2);
  CHECK(count(200) + count(429) == kCalls);
  for (const auto& line : cell.log.lines) {
    CHECK(line.find("store_away") == std::string::npos);
  }
}

// Guards against an append that is overdue because this process was busy, and that is reported as
// an absence of the store.
TEST_CASE("a leader that is late itself doesn't say that the store is away") {
  leader_fixture cell;
  cell.ports.first_append_delay = milliseconds{300};
  (void)cell.SendCall("POST", "a", "job");
  cell.Run(milliseconds{50});
  std::this_thread::sleep_for(milliseconds{700});
  const auto refused = cell.SendCall("POST", "b", "job");
  const auto repeated = cell.SendCall("POST", "a", "job");
  CHECK(refused->status == 429);
  CHECK(refused->retry_after_s >= 1);
  cell.Run(milliseconds{50});
  CHECK(repeated->status == 200);
  for (const auto& line : cell.log.lines) {
    CHECK(line.find("store_away") == std::string::npos);
  }
}

// Guards against refusals of calls that wait at a leader when it stops leading: the next one must
// get them.
TEST_CASE("waiting calls of a leader that ends go to the next one") {
  leader_fixture cell;
  cell.ports.decode_cost = milliseconds{2};
  constexpr int kCalls = 10;
  std::vector<std::shared_ptr<caller_answer>> answers;
  answers.reserve(kCalls);
  for (int number = 0; number < kCalls; ++number) {
    answers.push_back(cell.SendCall("POST", "job-" + std::to_string(number), "job"));
  }
  REQUIRE(answers.back()->status == 0);
  cell.instance->End("test");
  CHECK(answers.back()->status == 503);
  CHECK(answers.back()->not_leading);
}

}  // namespace rosearch::cell
