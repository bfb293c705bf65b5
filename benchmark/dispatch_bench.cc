#include <benchmark/benchmark.h>

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <queue>
#include <string>
#include <tuple>
#include <vector>

#include "benchmark/cell.h"
#include "rosearch/dispatch/executor_pool.h"

namespace rosearch::bench {
namespace {

using std::chrono::milliseconds;

constexpr int kExecutors = 50;
constexpr int kSlots = 8;
constexpr int kRequests = 200000;
constexpr duration kDeadline = milliseconds{200};
/// Requests last 10 to 30 ms, so that 50 executors with 8 slots end 20,000 a second.
constexpr duration kCapacityInterval = std::chrono::microseconds{50};

/// One executor that fails what it gets within a millisecond, or none.
enum class fault { kNone, kOneFails };

/// Plays requests against executors in simulated time and times each call in real time.
class load_run {
 public:
  load_run(std::int64_t percent, fault broken, const dispatch_settings& settings)
      : pool_{settings}, percent_{percent}, broken_{broken} {
    dispatch_output out;
    for (int number = 0; number < kExecutors; ++number) {
      pool_.SetExecutor({vm_id{"ex" + std::to_string(number)}, "127.0.0.1:1", kSlots, 60}, now_,
                        out);
    }
  }

  void Play() {
    for (std::uint64_t ticket = 1; ticket <= kRequests; ++ticket) {
      const auto step = kCapacityInterval.count() * 100 / percent_;
      EndUntil(now_ + duration{random_.Between(0, 2 * step)});
      const queued_request request{
          ticket, customer_id{random_.Chance(0.5) ? "a" : "b"}, "quote", 1, now_ + kDeadline, true,
          1};
      arrived_[ticket] = now_;
      Call([&](dispatch_output& out) { pool_.Submit(request, now_, out); });
    }
    while (!ends_.empty()) {
      EndUntil(std::get<0>(ends_.top()));
    }
  }

  void Report(benchmark::State& state) const {
    const auto share = [](std::int64_t part) {
      return 100.0 * static_cast<double>(part) / kRequests;
    };
    state.counters["done_pct"] = share(done_);
    state.counters["shed_pct"] = share(shed_);
    state.counters["late_pct"] = share(late_);
    state.counters["failed_pct"] = share(failed_);
    state.counters["wait_p99_ms"] = static_cast<double>(Percentile(waits_, 0.99)) / 1e3;
    state.counters["call_p50_us"] = static_cast<double>(Percentile(calls_, 0.5)) / 1e3;
    state.counters["call_p99_us"] = static_cast<double>(Percentile(calls_, 0.99)) / 1e3;
  }

 private:
  using end = std::tuple<time_point, std::uint64_t, std::uint32_t, bool>;

  void EndUntil(time_point until) {
    while (!ends_.empty() && std::get<0>(ends_.top()) <= until) {
      const auto [at, ticket, attempt, fails] = ends_.top();
      ends_.pop();
      now_ = at;
      Call([&, id = ticket, number = attempt, bad = fails](dispatch_output& out) {
        if (bad) {
          pool_.OnFailed(id, number, error_kind::kTargetFailed, now_, out);
        } else {
          done_ += pool_.OnAnswered(id, number, now_, out) ? 1 : 0;
        }
      });
    }
    now_ = until;
  }

  template <typename Action>
  void Call(Action action) {
    dispatch_output out;
    const auto start = std::chrono::steady_clock::now();
    action(out);
    calls_.push_back(std::chrono::duration_cast<std::chrono::nanoseconds>(
                         std::chrono::steady_clock::now() - start)
                         .count());
    for (const auto& send : out.sends) {
      const bool fails = broken_ == fault::kOneFails && send.vm == vm_id{"ex0"};
      const auto lasts = fails ? milliseconds{1} : milliseconds{random_.Between(10, 30)};
      ends_.emplace(now_ + lasts, send.ticket, send.attempt, fails);
      if (send.attempt == 1) {
        waits_.push_back((now_ - arrived_.at(send.ticket)).count());
      }
    }
    for (const auto& failure : out.failures) {
      shed_ += failure.why.kind == error_kind::kOverloaded ? 1 : 0;
      late_ += failure.why.kind == error_kind::kDeadlinePassed ? 1 : 0;
      failed_ += failure.why.kind == error_kind::kTargetFailed ? 1 : 0;
    }
  }

  executor_pool pool_;
  std::int64_t percent_;
  fault broken_;
  random_source random_{5};
  time_point now_{};
  std::map<std::uint64_t, time_point> arrived_;
  std::priority_queue<end, std::vector<end>, std::greater<>> ends_;
  std::vector<std::int64_t> waits_;
  std::vector<std::int64_t> calls_;
  std::int64_t done_{};
  std::int64_t shed_{};
  std::int64_t late_{};
  std::int64_t failed_{};
};

/// range(0): offered load in percent of what the executors can end.
void Load(benchmark::State& state, fault broken, const dispatch_settings& settings) {
  for (auto _ : state) {
    load_run run{state.range(0), broken, settings};
    run.Play();
    run.Report(state);
  }
}

const bool kRegistered = [] {
  dispatch_settings bounded;
  bounded.queue_per_customer = 1U << 20U;
  auto without_health = bounded;
  without_health.health.least_failures = without_health.health.window + 1;
  const auto add = [](const char* name, fault broken, const dispatch_settings& settings) {
    return benchmark::RegisterBenchmark(
               name, [broken, settings](benchmark::State& state) { Load(state, broken, settings); })
        ->Iterations(1)
        ->Unit(benchmark::kMillisecond);
  };
  add("dispatch/load", fault::kNone, bounded)->Arg(80)->Arg(100)->Arg(200)->Arg(400);
  add("dispatch/one_fails", fault::kOneFails, bounded)->Arg(80);
  add("dispatch/one_fails_no_health", fault::kOneFails, without_health)->Arg(80);
  return true;
}();

}  // namespace
}  // namespace rosearch::bench
