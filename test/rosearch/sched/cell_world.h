#ifndef TEST_ROSEARCH_SCHED_CELL_WORLD_H_
#define TEST_ROSEARCH_SCHED_CELL_WORLD_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "rosearch/core/random_source.h"
#include "rosearch/log/event_line.h"
#include "rosearch/sched/scheduler.h"

namespace rosearch::sched {

/// Keeps log lines for tests that look at them.
class kept_log final : public event_sink {
 public:
  void Write(const event_line& line) override { lines.push_back(line.text()); }
  [[nodiscard]] bool Has(const std::string& part) const;

  std::vector<std::string> lines;
};

/// What goes wrong in a world, each as a probability or a switch.
struct world_faults {
  double answer_lost{0};       ///< an order is carried out, its answer is lost
  double order_late{0};        ///< an order gets no answer and is carried out 2 to 12 s later
  double run_fails{0};         ///< a run ends failed
  double store_refuses{0};     ///< an append is refused
  double store_silent{0};      ///< an append is stored, its answer is lost
  double store_drops{0};       ///< an append is neither stored nor answered
  double advice_lost{0};       ///< a question for advice is never answered
  double worker_dies{0};       ///< each second, for each worker: it restarts with another id
  double worker_cut{0};        ///< each second, for each worker: unreachable for 1 to 9 s
  double leader_dies{0};       ///< each second
  double old_leader_talks{0};  ///< an order of a former leader arrives seconds later
};

/// What deciding costs a leader with a whole processor; zero: nothing.
struct leader_cost {
  duration message{};  ///< to take in one answer, report or request
  duration attempt{};  ///< to try to place a waiting step
  duration order{};    ///< to give one order

  friend bool operator==(const leader_cost&, const leader_cost&) = default;
};

/// What a world is made of.
struct world_shape {
  resources worker{};               ///< of each; zero: 8 to 32 processors and no accelerators
  advice_cost long_advice{};        ///< of the queue of long work; zero: it needs none
  std::uint32_t allowed_tenths{7};  ///< workers in ten that advice allows
  std::size_t advice_processes{0};  ///< questions answered at a time; zero: any number
  bool urgent_queue{true};          ///< urgent work uses the same workers
  leader_cost cost{};
};

/// A cell in virtual time: one scheduler at a time, workers that start whatever they are told, a
/// store, advice and callers. One seed is one run. Whatever breaks a promise is noted.
class cell_world {
 public:
  cell_world(std::uint64_t seed, const world_faults& faults, std::size_t workers,
             const scheduler_settings& settings = {}, const world_shape& shape = {});
  ~cell_world();

  /// Hands in a job; the id is made up.
  /// @return the id.
  std::string Submit(job_spec job);
  void Cancel(const std::string& id);
  /// Lets time go on.
  void Run(duration span);
  /// Ends all faults that were drawn at random from now on.
  void Calm() { faults_ = {}; }
  void SetFaults(const world_faults& faults) { faults_ = faults; }
  /// The leader is gone, another takes over.
  void ReplaceLeader();
  void CutWorker(std::size_t number, duration span);
  /// From now on the leader has that share of a processor.
  void SetProcessor(double share) { processor_ = share; }
  /// From now on every run that starts at a worker fails at its end.
  void SickenWorker(std::size_t number);
  /// From now on every run that starts at a worker takes so many times as long; 1: as ever.
  void SlowWorker(std::size_t number, double factor);

  /// @return promises that were broken, in words.
  [[nodiscard]] const std::vector<std::string>& Broken() const { return broken_; }
  [[nodiscard]] std::optional<job_phase> Phase(const std::string& id) const;
  /// @return accepted jobs without a service that haven't ended.
  [[nodiscard]] std::vector<std::string> Unfinished() const;
  [[nodiscard]] std::size_t Starts() const { return starts_; }
  [[nodiscard]] bool Refused(const std::string& job) const { return jobs_.at(job).refused; }
  [[nodiscard]] std::size_t RunningOf(const std::string& job) const;
  [[nodiscard]] scheduler& Leader() { return *leader_; }
  [[nodiscard]] const kept_log& Log() const { return log_; }
  [[nodiscard]] instant Now() const;
  /// @return when the last task of a job ended done, since the beginning; nothing before.
  [[nodiscard]] std::optional<duration> DoneAfter(const std::string& job) const;

  static constexpr std::string_view kQueue = "cell.test/jobs/";
  static constexpr std::string_view kLongQueue = "cell.test/plans/";
  static constexpr std::string_view kPool = "pool";

 private:
  struct fake_run {
    std::uint32_t run{0};
    time_point began{};
    time_point ends{};
    bool fails{false};
    std::string checkpoint;
    resources charged{};
  };
  struct fake_worker {
    worker_facts facts;
    std::uint64_t fence{0};
    time_point lease_until{};
    time_point cut_until{};
    bool sick{false};
    double slowdown{1};
    std::uint64_t ended_count{0};
    std::map<std::string, fake_run> running;
    std::vector<ended_row> ended;
    std::map<std::string, std::uint32_t> highest_over;  ///< runs up to it can't begin
  };
  struct known_job {
    job_spec spec;
    bool accepted{false};
    bool refused{false};
    std::optional<time_point> cancelled;
    std::set<std::string> done;                             ///< tasks, by what really happened
    std::map<std::string, std::set<std::uint32_t>> failed;  ///< acknowledged failed runs
    std::set<std::string> done_noted;
    time_point handed_in{};
    time_point last_done{};
  };

  void At(time_point when, std::function<void()> what);
  void After(duration span, std::function<void()> what) { At(now_ + span, std::move(what)); }
  /// Has the leader take something in, once it has done what came before.
  void ToLeader(std::function<void()> what);
  void WorkSoon();
  void Work();
  /// Has the leader decide: at once where that costs nothing, else in passes.
  void Pump();
  void Pass();
  void Lead();
  /// @param due  when the leader should have come to it.
  void Tick(std::uint64_t epoch, time_point due);
  void TickAfter(duration pause);
  void StoreSoon();
  void SendBatch(std::uint64_t epoch, const state_batch& batch, bool may_be_stored);
  void Watch(const std::string& id, std::uint64_t epoch);
  void Answer(const std::string& id, std::uint64_t epoch, const watch_request& watch,
              time_point sent_at, time_point give_up);
  void CarryOut(const order& decided);
  void CarryOut(const start_order& decided);
  void CarryOut(const stop_order& decided);
  void CarryOut(const pace_order&) {}
  void CarryOut(const advice_query& decided);
  start_outcome Apply(const start_order& order, std::uint64_t fence, time_point lease_end);
  bool Apply(const stop_order& order, std::uint64_t fence);
  void Judge(const fake_worker& worker, const start_order& order);
  void EndOf(fake_worker& worker, const std::string& key, end_kind how);
  void AdvanceWorker(fake_worker& worker);
  void Second();
  void Ack(fake_worker& worker, std::uint64_t end);
  [[nodiscard]] fake_worker* Find(const std::string& id);
  [[nodiscard]] bool Reachable(const fake_worker& worker) const { return now_ >= worker.cut_until; }
  void Break(const std::string& what);

  random_source random_;
  world_faults faults_;
  scheduler_settings settings_;
  world_shape shape_;
  std::vector<time_point> advice_free_at_;  ///< by process that asks
  kept_log log_;
  time_point now_;
  std::multimap<time_point, std::function<void()>> events_;
  std::unique_ptr<scheduler> leader_;
  std::uint64_t epoch_{0};
  double processor_{1};
  std::deque<std::function<void()>> inbox_;  ///< what the leader has yet to take in
  time_point busy_until_{};
  time_point passed_at_{};
  std::size_t orders_{0};  ///< that the leader gave
  bool working_{false};
  bool pass_pending_{false};
  std::map<std::string, std::string> store_;
  bool storing_{false};
  std::map<std::string, fake_worker> workers_;
  std::set<std::string> watched_;
  std::map<std::string, known_job> jobs_;
  std::vector<std::string> broken_;
  std::uint64_t next_id_{1};
  std::uint64_t next_worker_{1};
  std::size_t starts_{0};
};

}  // namespace rosearch::sched

#endif  // TEST_ROSEARCH_SCHED_CELL_WORLD_H_
