#include <benchmark/benchmark.h>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "rosearch/capacity/vm_pool.h"
#include "rosearch/core/random_source.h"
#include "test/rosearch/capacity/fake_worker.h"

namespace rosearch::bench {
namespace {

using std::chrono::milliseconds;

constexpr shard_number kShard = 1;
constexpr std::int64_t kVms = 8;
constexpr std::int64_t kTasksPerVm = 20;
constexpr duration kTickEvery = milliseconds{50};
constexpr duration kWarmUp = std::chrono::seconds{120};
constexpr duration kMeasured = std::chrono::seconds{600};

/// Keeps workers full, or at a share of their room, with tasks of one processor whose declared run
/// times are off, and measures how late the pool learns of each end.
class notice_run {
 public:
  /// @param mean_s    mean time that a task really runs.
  /// @param factor    declared times are off by up to so much, either way.
  /// @param load_pct  100: a place that is free is taken again at once.
  notice_run(std::int64_t mean_s, std::int64_t factor, std::int64_t load_pct)
      : mean_s_{static_cast<double>(mean_s)},
        factor_{static_cast<double>(factor)},
        places_{kVms * kTasksPerVm * load_pct / 100} {
    std::vector<wire::vm_record> list;
    for (int number = 0; number < kVms; ++number) {
      const vm_id vm{"w" + std::to_string(number)};
      auto& worker = workers_.emplace(vm, test::fake_worker{kHolds, 1.0, 0}).first->second;
      worker.on_start = [this](const attempt_key& key) {
        ends_[key] = now_ + milliseconds{runs_.at(key)};
      };
      auto& listed = list.emplace_back();
      listed.set_vm(vm.value());
      listed.set_instance(1);
      *listed.mutable_holds() = internal::ToWire(kHolds);
    }
    pool_.OnVmList(list, now_, out_);
    pool_.OnAcquired(1, {}, true, now_, out_);
  }

  void Play() {
    const auto begin = now_;
    while (now_ < begin + kWarmUp + kMeasured) {
      measuring_ = now_ >= begin + kWarmUp;
      pool_.Tick(now_, out_);
      Flush();
      while (open_ < places_) Place();
      now_ += kTickEvery;
    }
  }

  void Report(benchmark::State& state) {
    std::ranges::sort(delays_);
    double sum = 0;
    for (const auto delay : delays_) sum += delay;
    const auto count = static_cast<double>(delays_.size());
    const double seconds = std::chrono::duration<double>(kMeasured).count();
    state.counters["ends"] = count;
    state.counters["delay_mean_ms"] = sum / count;
    state.counters["delay_p99_ms"] = delays_[delays_.size() * 99 / 100];
    state.counters["exchanges_per_vm_s"] = static_cast<double>(exchanges_) / kVms / seconds;
    state.counters["bytes_per_vm_s"] = static_cast<double>(bytes_) / kVms / seconds;
    state.counters["starts_per_vm_s"] = static_cast<double>(starts_) / kVms / seconds;
    // Of the room that is committed, the share whose task has ended.
    state.counters["idle_pct"] = sum / 1000 / (static_cast<double>(places_) * seconds) * 100;
  }

 private:
  static constexpr resources kHolds{kTasksPerVm * 1000, 128000, 0};

  void Place() {
    ++open_;
    const attempt_key key{"j" + std::to_string(++last_) + "/1", 1};
    const double run = -mean_s_ * 1000 * std::log(1 - 0.999 * Unit());
    const double off = std::pow(factor_, 2 * Unit() - 1);
    runs_[key] = std::max<std::uint32_t>(100, static_cast<std::uint32_t>(run));
    wire::capacity_message message;
    message.set_from_shard(kShard);
    message.set_to_shard(kShard);
    message.set_from_epoch(1);
    auto& want = *message.mutable_place()->mutable_want();
    *want.mutable_ref() = RefOf(key);
    want.mutable_needs()->set_processors_milli(1000);
    want.set_run_ms(std::max<std::uint32_t>(1, static_cast<std::uint32_t>(runs_[key] * off)));
    message.mutable_place()->set_policy("spread");
    pool_.OnMessage(message, now_, out_);
    Flush();
  }

  void Flush() {
    while (!out_.records.empty() || !out_.exchanges.empty() || !out_.messages.empty()) {
      auto ready = std::exchange(out_, {});
      for (const auto& record : ready.records) pool_.OnDurable(record, now_, out_);
      for (const auto& message : ready.messages) OnEvent(message.event());
      for (auto& exchange : ready.exchanges) Exchange(exchange);
    }
  }

  void Exchange(worker_exchange& exchange) {
    const auto declared_bytes = exchange.command.ByteSizeLong();
    for (auto& start : *exchange.command.mutable_starts()) {
      start.set_run_ms(runs_.at(KeyOf(start.ref())));
    }
    const auto report = workers_.at(exchange.vm).Exchange(exchange.command, now_);
    if (measuring_) {
      ++exchanges_;
      bytes_ += declared_bytes + report.ByteSizeLong();
      starts_ += static_cast<std::uint64_t>(exchange.command.starts_size());
    }
    pool_.OnReport(exchange.vm, report, now_, now_, out_);
  }

  void OnEvent(const wire::place_event& event) {
    if (event.kind() == wire::PLACE_REFUSED) {
      --open_;
    }
    if (event.kind() != wire::PLACE_ENDED) return;
    const auto key = KeyOf(event.ref());
    const auto end = ends_.find(key);
    if (end == ends_.end()) return;
    if (measuring_) {
      delays_.push_back(std::chrono::duration<double, std::milli>(now_ - end->second).count());
    }
    ends_.erase(end);
    runs_.erase(key);
    --open_;
    wire::capacity_message ack;
    ack.set_from_shard(kShard);
    ack.set_to_shard(kShard);
    ack.set_from_epoch(1);
    *ack.mutable_ack()->mutable_ref() = event.ref();
    ack.mutable_ack()->set_kind(event.kind());
    pool_.OnMessage(ack, now_, out_);
  }

  double Unit() { return static_cast<double>(random_.Between(0, 1'000'000)) / 1'000'000; }

  random_source random_{1};
  double mean_s_;
  double factor_;
  std::int64_t places_;
  vm_pool pool_{kShard, {}};
  pool_output out_;
  time_point now_{std::chrono::seconds{100}};
  std::map<vm_id, test::fake_worker> workers_;
  std::map<attempt_key, std::uint32_t> runs_;  ///< how long each really runs, in milliseconds
  std::map<attempt_key, time_point> ends_;
  std::int64_t open_{};
  std::uint64_t last_{};
  bool measuring_{};
  std::uint64_t exchanges_{};
  std::uint64_t bytes_{};
  std::uint64_t starts_{};
  std::vector<double> delays_;
};

void Notice(benchmark::State& state) {
  for (auto _ : state) {
    notice_run run{state.range(0), state.range(1), state.range(2)};
    run.Play();
    run.Report(state);
  }
}
BENCHMARK(Notice)
    ->Name("notice")
    ->ArgNames({"mean_s", "off_by", "load"})
    ->ArgsProduct({{2, 10, 90, 600}, {1, 4}, {100}})
    ->ArgsProduct({{2, 10, 90, 600}, {4}, {10}})
    ->Iterations(1)
    ->Unit(benchmark::kMillisecond);

}  // namespace
}  // namespace rosearch::bench
