#ifndef TEST_ROSEARCH_CELL_FAKE_PORTS_H_
#define TEST_ROSEARCH_CELL_FAKE_PORTS_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "rosearch/cell/leader.h"

namespace rosearch::cell {

using std::chrono::milliseconds;

/// Collects log lines for tests that check them.
class log_recorder final : public event_sink {
 public:
  void Write(const event_line& line) override { lines.push_back(line.text()); }
  std::vector<std::string> lines;
};

/// An in-memory store and workers without advice. The members below inject store faults and delays.
class fake_ports {
 public:
  explicit fake_ports(boost::asio::io_context& io) : io_{io} {}

  void Append(stream, const std::vector<std::string>& records,
              const std::optional<writer_proof>& proof, const std::optional<std::uint64_t>&,
              const append_callback& done) {
    ++append_count;
    record_append_count += records.empty() ? 0 : 1;
    if (drop_appends) {
      return;
    }
    if (!records.empty() && first_append_delay > duration{}) {
      RunAfter(std::exchange(first_append_delay, {}),
               [this, records, sequence = proof->sequence, done] {
                 done(StoreRecords(records, sequence));
               });
      return;
    }
    append_answer answer;
    answer.outcome = append_outcome::kStored;
    if (!records.empty() && refuse_records) {
      answer.outcome = append_outcome::kNotStored;
    } else if (refuse_appends || (!records.empty() && appends_to_lose > 0)) {
      answer.outcome = refuse_appends ? append_outcome::kNotStored : append_outcome::kUnknown;
      appends_to_lose -= refuse_appends ? 0 : 1;
    } else if (fence_appends) {
      answer.outcome = append_outcome::kFenced;
    } else if (!records.empty()) {
      answer = StoreRecords(records, proof->sequence);
    }
    // Delays every second append with records, as if it had taken a slower route.
    const bool slow = !records.empty() && reorder_appends && ++record_appends % 2 == 1;
    RunAfter(slow ? milliseconds{25} : milliseconds{1}, [done, answer] { done(answer); });
  }
  void Read(stream which, std::uint64_t from, duration wait, const log_callback& done) {
    log_page page;
    page.next = from;
    if (which == stream::kWorkers) {
      page.records = std::exchange(worker_changes, {});
    }
    RunAfter(std::max<duration>(wait, milliseconds{5}), [done, page] { done(page); });
  }
  void ReadNewest(stream which, const std::string&, const newest_callback& done) {
    newest_page page;
    if (which == stream::kConfiguration) {
      page.records = {{"config", configuration}};
    } else if (which == stream::kWorkers) {
      for (int at = 1; at <= workers; ++at) {
        page.records.push_back({"w" + std::to_string(at), worker_record});
      }
    } else if (which == stream::kState) {
      for (const auto& [key, value] : stored) {
        page.records.push_back({key, value});
      }
    }
    RunAfter(milliseconds{1}, [done, page] { done(page); });
  }
  void Start(const sched::start_order& order, std::uint64_t, const start_callback& done) {
    starts.push_back(order);
    ended.push_back({++last_end, order.task, order.run, sched::end_kind::kDone, ""});
    RunAfter(milliseconds{1}, [done] { done(sched::start_outcome::kStarted); });
  }
  void Stop(const sched::stop_order&, std::uint64_t, const stop_callback& done) {
    RunAfter(milliseconds{1}, [done] { done(true, false); });
  }
  void Pace(const sched::pace_order&, std::uint64_t) {}
  void Watch(const sched::watch_request& watch, std::uint64_t, const watch_callback& done) {
    ++watch_count;
    const bool first = watched_workers.insert(watch.worker).second;
    std::erase_if(ended, [&](const auto& row) { return row.number <= watch.acked_end; });
    // A worker with nothing to report delays its answer (long poll).
    const bool delays_answer = ended.empty() && watch.wait > duration{};
    RunAfter(milliseconds{delays_answer ? 50 : 5}, [this, first, done] {
      std::this_thread::sleep_for(first ? watch_cost : duration{});
      watch_answer answer;
      answer.report = sched::worker_report{{}, ended};
      done(answer);
    });
  }
  void Advise(const advice_route&, const sched::advice_query&, const advice_callback&) {}

  static result<sched::cell_configuration> DecodeConfiguration(const std::string& text) {
    sched::cell_configuration decoded;
    decoded.version = 1;
    decoded.queues = {{"quick", "host", "/jobs/", "pool", 0, 2, 1.5, milliseconds{250}, {}}};
    decoded.pools = {{"pool", false, false}};
    if (text == kWithCustomers) {
      decoded.queues.front().requires_key = true;
      decoded.queues.push_back(
          {"open", "host", "/open/", "pool", 0, 2, 1.5, milliseconds{250}, {}});
      decoded.customers = {{"a", 100, {}, {sched::key_digest::Of("ka")}},
                           {"b", 100, {}, {sched::key_digest::Of("kb")}}};
      decoded.keys = sched::customer_keys{decoded.customers};
    }
    return decoded;
  }
  static std::string_view ConfigurationKey() { return "config"; }
  static result<sched::worker_facts> DecodeWorker(const std::string& id, const std::string& text) {
    if (text == kUnusable) {
      return error{error_kind::kInvalidRequest, "state"};
    }
    return sched::worker_facts{id, "10.0.0.1:80",     "pool", "", "", "",
                               {}, {8'000, 8'000, 0}, false,  {}};
  }
  static result<sched::job_spec> DecodeJob(const std::string& text) {
    std::this_thread::sleep_for(decode_cost);
    if (text.empty()) {
      return error{error_kind::kInvalidRequest, "empty"};
    }
    sched::job_spec job;
    job.steps.resize(1);
    job.steps[0].need = {100, 10, 0};
    job.steps[0].estimate = milliseconds{100};
    return job;
  }
  static std::string EncodePhase(sched::job_phase phase) {
    return std::to_string(static_cast<int>(phase));
  }
  static std::string EncodeWaiting(std::size_t jobs) { return std::to_string(jobs); }
  static bool IsJobId(std::string_view text) { return !text.empty(); }
  static std::optional<duration> CallerTimeout(const std::map<std::string, std::string>&) {
    return std::nullopt;
  }
  static std::optional<std::string> CallerKey(const std::map<std::string, std::string>&) {
    return std::nullopt;
  }

  /// Text of a configuration with a queue that requires keys, an open one, and customers "a" and
  /// "b" with the keys "ka" and "kb".
  static constexpr const char* kWithCustomers = "customers";
  static constexpr const char* kUnusable = "unusable";  ///< a record of another writer
  std::string worker_record{"here"};                    ///< of each worker
  std::vector<std::string> worker_changes;  ///< keyed records that the next read returns

  std::string configuration{"1"};
  std::map<std::string, std::string> stored;
  std::set<std::string> watched_workers;
  std::vector<sched::start_order> starts;
  std::vector<sched::ended_row> ended;
  std::uint64_t last_end{0};
  std::optional<std::uint64_t> next_sequence;  ///< unset: any first number is accepted
  duration first_append_delay{};               ///< of the first append; 0: as the others
  duration watch_cost{};  ///< time for which a worker's first answer blocks the leader
  static inline duration decode_cost{};  ///< time for which reading a job blocks the leader
  int append_count{0};
  int record_append_count{0};  ///< of those with records
  int record_appends{0};
  int workers{1};
  int watch_count{0};
  int appends_to_lose{0};
  bool refuse_appends{false};
  bool refuse_records{false};  ///< refuses appends, but no probe without records
  bool drop_appends{false};
  bool fence_appends{false};
  bool reorder_appends{false};

 private:
  /// Stores records with the expected sequence number, ignores a repeat and refuses any other.
  append_answer StoreRecords(const std::vector<std::string>& records, std::uint64_t sequence) {
    append_answer answer;
    answer.outcome = append_outcome::kStored;
    if (next_sequence && sequence != *next_sequence) {
      const bool repeated = sequence + 1 == *next_sequence;
      answer.outcome = repeated ? append_outcome::kStored : append_outcome::kOutOfSequence;
      answer.next_sequence = *next_sequence;
      return answer;
    }
    next_sequence = sequence + 1;
    for (const auto& bytes : records) {
      const auto record = SplitKeyed(bytes);
      stored[record->key] = record->value;
    }
    return answer;
  }
  void RunAfter(duration delay, std::function<void()> action) {
    auto timer = std::make_shared<boost::asio::steady_timer>(io_, delay);
    timer->async_wait(
        [timer, action = std::move(action)](const boost::system::error_code&) { action(); });
  }
  boost::asio::io_context& io_;
};

static_assert(cell_ports<fake_ports>);

/// A leader on fake ports that runs in real time, for short periods.
class leader_fixture {
 public:
  explicit leader_fixture(int workers = 1, duration interval = {}, duration first_append = {},
                          duration watch_cost = {}, const std::string& configuration = "1")
      : watch_interval{interval} {
    ports.configuration = configuration;
    ports.workers = workers;
    ports.watch_cost = watch_cost;
    ports.first_append_delay = first_append;
    leader_hooks hooks;
    hooks.watch_pause = [this] {
      known_workers_at_watch.push_back(instance->Workers());
      return watch_interval;
    };
    hooks.on_end = [this] { ended = true; };
    instance = std::make_shared<leader<fake_ports>>(io, ports, leader_settings{}, 1, log, metrics,
                                                    std::move(hooks));
    instance->Begin(SteadyNow());
    Run(milliseconds{60});
    // A busy machine takes longer.
    for (int wait = 0; wait < 200 && !instance->Serving(); ++wait) {
      Run(milliseconds{10});
    }
  }
  ~leader_fixture() {
    fake_ports::decode_cost = {};
    instance->End("test over");
    io.restart();
    io.run_for(milliseconds{10});
  }
  leader_fixture(const leader_fixture&) = delete;
  leader_fixture& operator=(const leader_fixture&) = delete;

  void Run(duration span) {
    io.restart();
    io.run_for(span);
  }
  std::shared_ptr<caller_answer> SendCall(const std::string& method, const std::string& id,
                                          const std::string& body = {},
                                          duration timeout = milliseconds{2'000}) {
    auto got = std::make_shared<caller_answer>();
    got->status = 0;
    instance->Handle({method, "host", "/jobs/" + id, body}, timeout,
                     [got](const caller_answer& answer) { *got = answer; });
    return got;
  }
  /// Calls with a caller's key; empty: without one.
  std::shared_ptr<caller_answer> SendWithKey(const std::string& method, const std::string& path,
                                             const std::string& key) {
    auto got = std::make_shared<caller_answer>();
    got->status = 0;
    caller_request request{method, "host", path, method == "POST" ? "job" : ""};
    if (!key.empty()) {
      request.key = sched::key_digest::Of(key);
    }
    instance->Handle(request, milliseconds{2'000},
                     [got](const caller_answer& answer) { *got = answer; });
    return got;
  }

  boost::asio::io_context io;
  fake_ports ports{io};
  log_recorder log;
  metric_set metrics;
  std::shared_ptr<leader<fake_ports>> instance;
  std::vector<std::size_t> known_workers_at_watch;  ///< workers known at each call of the hook
  duration watch_interval{};                        ///< between two slices of workers to watch
  bool ended{false};
};

}  // namespace rosearch::cell

#endif  // TEST_ROSEARCH_CELL_FAKE_PORTS_H_
