#ifndef ROSEARCH_TEST_PROCESS_CELL_H_
#define ROSEARCH_TEST_PROCESS_CELL_H_

#include <boost/json/value.hpp>
#include <cstdint>
#include <filesystem>
#include <functional>
#include <future>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "process/child.h"
#include "rosearch/core/id.h"
#include "rosearch/core/time.h"

namespace rosearch::test {

/// What a cell is made of. Entries, workers and executors are numbered from 1.
struct cell_shape {
  int entries{3};
  int workers{2};
  int executors{2};
  std::uint32_t shards{3};
  int slots{8};  ///< of each executor
  std::uint32_t max_body_bytes{1 << 20};
};

/// One HTTP answer.
struct reply {
  unsigned status{0};  ///< 0: no whole answer came
  std::string body{};
  std::string outcome{};  ///< done, not_run, unknown, or empty
  std::string failure{};  ///< why no whole answer came

  /// @return the JSON that the body holds; null where it holds none.
  [[nodiscard]] boost::json::value Json() const;
  /// @return the kind of error in the body; empty where there is none.
  [[nodiscard]] std::string Kind() const;
};

using header_map = std::map<std::string, std::string>;

/// Text for messages of a failed check.
[[nodiscard]] std::string ToText(const reply& answer);

/// A whole cell of processes on loopback: the platform's stand-ins and entries.
/// All waiting is for conditions; one that does not come true ends the case with all dumps.
class cell {
 public:
  /// Starts everything and publishes the rules below; returns once each shard has an owner.
  explicit cell(const cell_shape& shape = {});
  ~cell();

  // Processes.
  void StartEntry(int entry);
  /// Kills an entry and takes its VM off the list, as the platform does.
  void Lose(int entry);
  /// Stops an entry's process as a paused VM does, and lets it go on.
  void Freeze(int entry);
  void Thaw(int entry);
  [[nodiscard]] child& Entry(int entry) { return *entries_.at(entry).process; }
  void Fault(const std::string& role, const std::string& fault, int number = 1);

  // HTTP.
  [[nodiscard]] std::future<reply> Send(const std::string& address, const std::string& method,
                                        const std::string& target, const std::string& body = {},
                                        const header_map& headers = {});
  [[nodiscard]] std::future<reply> SendTo(int entry, const std::string& method,
                                          const std::string& target, const std::string& body = {},
                                          const header_map& headers = {});
  [[nodiscard]] reply Ask(int entry, const std::string& method, const std::string& target,
                          const std::string& body = {}, const header_map& headers = {});
  /// Sends a non-idempotent request.
  [[nodiscard]] std::future<reply> Order(int entry, const std::string& id,
                                         const std::string& issued, const std::string& body);
  [[nodiscard]] std::future<reply> Quote(int entry, const std::string& body);
  [[nodiscard]] reply Submit(int entry, const std::string& job, int count, int run_ms,
                             const std::string& more = {});
  [[nodiscard]] reply Publish(int entry, const std::string& change, int replaces,
                              const std::string& document, const std::string& query = {});
  [[nodiscard]] std::string EntryAddress(int entry) const;
  [[nodiscard]] std::string StandInAddress(const std::string& role, int number = 1) const;
  void SetVm(const std::string& name, const std::string& kind, const std::string& address,
             int number, const std::string& more = {});

  // What is so.
  [[nodiscard]] boost::json::value Get(const std::string& address, const std::string& target);
  /// @return how often the executors were sent that request.
  [[nodiscard]] std::int64_t Runs(const std::string& request);
  /// @return how often the workers were sent a task whose name begins so.
  [[nodiscard]] std::int64_t Starts(const std::string& prefix, int worker = 0);
  /// @return a number of each worker's statistics, summed up.
  [[nodiscard]] std::int64_t WorkerSum(const std::string& figure);
  [[nodiscard]] std::int64_t ExecutorRuns(int executor);
  [[nodiscard]] std::int64_t Running() { return WorkerSum("running"); }
  /// Checks that no worker was given too much, nor one task twice at once.
  void CheckWorkers();
  /// @return the entry that serves the shard; 0 where none says so.
  [[nodiscard]] int Owner(shard_number shard);
  /// Waits until one entry has served the shard for a while: entries share the shards out anew as
  /// they come, and one that moves between two looks seems to be served by nobody.
  /// @return that entry.
  [[nodiscard]] int SettledOwner(shard_number shard);
  [[nodiscard]] std::set<shard_number> OwnedBy(int entry);
  /// @return the entry that serves the shard of that worker; 0 where none says so.
  [[nodiscard]] int OwnerOfVm(const std::string& worker);
  [[nodiscard]] shard_number Home(const std::string& name) const;
  /// @return the shards whose owner has a witness that has everything.
  [[nodiscard]] std::set<shard_number> Witnessed();
  /// @return whether no entry that runs reaches the log.
  [[nodiscard]] bool LogDownEverywhere();
  /// @return how many owners would still send work to that worker or executor.
  [[nodiscard]] int OpenAnywhere(const std::string& vm);
  /// @return how many tasks of the job ended with that outcome.
  [[nodiscard]] int Outcomes(int entry, const std::string& job, const std::string& outcome);
  /// @return how often that change came into force, by the history of an entry.
  [[nodiscard]] int Accepted(int entry, const std::string& change);
  [[nodiscard]] bool JobEnded(int entry, const std::string& job, int count);
  [[nodiscard]] std::int64_t ConfigVersion(int entry);
  [[nodiscard]] bool Ready(int entry);

  /// Returns once the condition holds; fails the case where it does not within the limit.
  void Until(const std::string& what, const std::function<bool()>& condition,
             std::chrono::seconds limit = std::chrono::seconds{30});
  void UntilServed();
  /// Returns once each shard has an owner whose witness could take over.
  void UntilWitnessed();

  [[nodiscard]] const cell_shape& shape() const noexcept { return shape_; }

 private:
  struct entry_place {
    std::uint16_t http{0};
    std::uint16_t peer{0};
    int instance{0};
    bool frozen{false};
    std::unique_ptr<child> process;
  };
  class client;

  void StartStandIn(const std::string& role, const std::vector<std::string>& arguments);
  [[nodiscard]] boost::json::value Dump(int entry);
  [[nodiscard]] std::string Settings(int entry) const;
  [[nodiscard]] std::string Everything();

  cell_shape shape_;
  std::filesystem::path folder_;
  std::unique_ptr<client> client_;
  std::map<std::string, std::vector<std::uint16_t>> ports_;
  std::map<std::string, std::unique_ptr<child>> stand_ins_;
  std::map<int, entry_place> entries_;
};

/// @return the rules that a cell starts with; with another label, another version of them.
[[nodiscard]] std::string Rules(const std::string& label = "quote");

/// @return now as Unix time in milliseconds, as callers write it.
[[nodiscard]] std::string UnixMs();

}  // namespace rosearch::test

#endif  // ROSEARCH_TEST_PROCESS_CELL_H_
