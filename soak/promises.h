#ifndef SOAK_PROMISES_H_
#define SOAK_PROMISES_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "rosearch/config/config_chain.h"
#include "rosearch/core/error.h"
#include "rosearch/wire/peer.pb.h"
#include "rosearch/wire/platform.pb.h"
#include "rosearch/wire/record.pb.h"
#include "soak/timeline.h"

namespace rosearch::soak {

/// What the run knows of one request id and of each try of it by its caller.
struct request_facts {
  bool idempotent{false};
  std::uint32_t may_run{0};  ///< tries that are open, done or unknown
  std::uint32_t runs{0};
};

/// What the run knows of one job.
struct job_facts {
  wire::job_spec spec;
  bool accepted{false};   ///< a caller was told so
  bool cancelled{false};  ///< a caller asked for it
  bool over{false};       ///< seen ended, or running as it should
  /// A gang's tasks and attempts whose start is on record, and its tasks that have ended.
  std::set<std::pair<std::string, std::uint32_t>> committed;
  std::set<std::string> ended;
};

/// What the run knows of one task of a job.
struct task_facts {
  std::uint32_t starts{0};
  bool ended{false};  ///< a caller was told so
};

/// Watches what the fakes see, and ends the run where a promise is broken.
class promises {
 public:
  explicit promises(timeline& time) : time_{time} {}

  // Requests.
  void OnAsked(const std::string& body, bool idempotent);
  void OnRequestRun(const std::string& id, const std::string& body);
  /// @param ours  whether the answer is the whole one to this request.
  void OnRequestAnswered(const std::string& body, const wire::call_answer& answer);

  // Jobs.
  void OnSubmitted(const wire::job_spec& spec) { jobs_[Name(spec)].spec = spec; }
  /// Takes in a record that leaves its author, for its witness or for the log.
  void OnRecord(const wire::shard_record& record);
  /// @param committed  whether some owner of the job's home shard has the whole gang committed.
  void OnTaskStart(const std::string& vm, const wire::task_start& start, bool committed);
  void OnTaskSeen(const wire::task_snapshot& task);
  [[nodiscard]] const job_facts& JobOfTask(const std::string& task);
  [[nodiscard]] std::map<std::string, job_facts>& jobs() noexcept { return jobs_; }

  // Configuration.
  void OnControlAppended(const wire::log_entry& entry);
  void OnVersion(const std::string& entry, const wire::configuration_record& record,
                 config_version& seen, moment healthy_since);
  [[nodiscard]] config_version newest() const noexcept { return chain_.version(); }
  [[nodiscard]] std::string ChangeOf(config_version version) const {
    const auto found = changes_.find(version);
    return found == changes_.end() ? std::string{} : found->second.first;
  }

  [[nodiscard]] std::string Counts() const;

  static std::string Name(const wire::job_spec& spec) { return spec.customer() + '/' + spec.job(); }
  static std::string AnswerTo(const std::string& body);

 private:
  [[nodiscard]] bool WhollyCommitted(const job_facts& job, std::uint32_t attempt) const;

  timeline& time_;
  std::map<std::string, request_facts> requests_;  ///< by body, which names each of them
  std::map<std::string, job_facts> jobs_;
  std::map<std::string, task_facts> tasks_;
  std::set<std::string> control_ids_;
  config::config_chain chain_;
  std::map<config_version, std::pair<std::string, moment>> changes_;  ///< id, and when on the log
  std::map<std::string, std::uint64_t> counts_;
};

}  // namespace rosearch::soak

#endif  // SOAK_PROMISES_H_
