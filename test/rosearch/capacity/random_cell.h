#ifndef ROSEARCH_TEST_CAPACITY_RANDOM_CELL_H_
#define ROSEARCH_TEST_CAPACITY_RANDOM_CELL_H_

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "fake_worker.h"
#include "rosearch/capacity/vm_pool.h"
#include "rosearch/core/random_source.h"

namespace rosearch::test {

/// What went wrong in a run, each with its promise.
struct breaches {
  int overcommitted{};
  int run_twice{};
  int ran_after_not_run{};
  int started_while_leaving{};
};

/// One shard with four workers and one home shard that keeps asking, under random faults: commands
/// delayed, doubled and lost, answers lost, workers frozen and replaced, owners overtaken.
class random_cell {
 public:
  explicit random_cell(std::uint64_t seed);

  /// Runs with faults, then without; at the end all work is stopped.
  void Run();

  [[nodiscard]] const breaches& found() const noexcept { return found_; }
  [[nodiscard]] int starts() const noexcept { return starts_; }
  [[nodiscard]] int takeovers() const noexcept { return takeovers_; }
  /// @return the attempts without a final word when the run ended.
  [[nodiscard]] std::size_t unanswered() const noexcept { return asked_.size(); }
  /// @return whether nothing was committed any more when the run ended.
  [[nodiscard]] bool IsAllFree() const;

 private:
  struct vm {
    std::unique_ptr<fake_worker> worker;
    wire::vm_record listed;
    std::uint64_t instance{1};
    time_point frozen_until{};
    double rate{1};
  };
  struct written {
    time_point sent_at;
    std::uint64_t epoch{};
    std::uint64_t instance{};
  };
  struct ask {
    wire::place_task place;
    std::uint64_t epoch{};  ///< of the owner that was last asked
    time_point again_at{};
    bool held{};
    bool stop{};
  };

  void At(time_point when, std::function<void()> what) { agenda_.emplace(when, std::move(what)); }
  [[nodiscard]] duration Span(int least_ms, int most_ms) {
    return std::chrono::milliseconds{random_.Between(least_ms, most_ms)};
  }
  [[nodiscard]] bool Fault(double probability) { return faults_ && random_.Chance(probability); }

  template <typename F>
  void Call(F call) {
    pool_output out;
    call(out);
    Take(out);
  }

  void Step();
  void Home();
  void AskNew();
  void SendToPool(wire::capacity_message message);
  void OnEvent(const wire::capacity_message& message);
  void Take(const pool_output& out);
  void Write(const worker_exchange& exchange);
  void Fail(const vm_id& vm, const written& when, error_kind kind);
  void Deliver(const worker_exchange& exchange, const written& when, bool answers);
  void Disturb();
  void TakeOver();
  void Replace(const vm_id& name);
  void Publish();
  void OnStart(const attempt_key& key);
  void CheckWorkers();

  random_source random_;
  time_point now_{std::chrono::seconds{1000}};
  std::multimap<time_point, std::function<void()>> agenda_;
  std::map<vm_id, vm> vms_;
  std::set<vm_id> leaving_;
  std::unique_ptr<vm_pool> pool_;
  std::uint64_t epoch_{};
  std::vector<wire::shard_record> durable_;
  std::deque<wire::shard_record> pending_;
  std::map<attempt_key, ask> asked_;
  std::set<attempt_key> ran_;
  std::set<attempt_key> not_run_;
  int tasks_{};
  int starts_{};
  int takeovers_{};
  bool faults_{true};
  bool closing_{false};
  breaches found_;
};

}  // namespace rosearch::test

#endif  // ROSEARCH_TEST_CAPACITY_RANDOM_CELL_H_
