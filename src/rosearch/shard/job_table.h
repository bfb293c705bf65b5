#ifndef ROSEARCH_SHARD_JOB_TABLE_H_
#define ROSEARCH_SHARD_JOB_TABLE_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "rosearch/core/id.h"
#include "rosearch/core/random_source.h"
#include "rosearch/core/resources.h"
#include "rosearch/core/time.h"
#include "rosearch/shard/cell_view.h"
#include "rosearch/shard/job_settings.h"
#include "rosearch/shard/shard_journal.h"
#include "rosearch/shard/shard_output.h"
#include "rosearch/shard/task_key.h"

namespace rosearch {

/// What a job table may look at while it takes a step.
struct job_context {
  time_point now;
  cell_view& cell;
};

/// The jobs whose home is one shard: asks capacity shards for room for their tasks, starts gangs
/// all or none, follows each task to its end, and keeps services running.
///
/// What must survive is in the journal's state; what is here besides is rebuilt by `Rebuild`. An
/// attempt is asked of one capacity shard only and is over when that shard says so: a task's next
/// attempt never begins while the last one may still run.
class job_table {
 public:
  /// @param shard    the home shard.
  /// @param region   where it lies.
  /// @param journal  outlives the table.
  job_table(shard_number shard, region_id region, job_settings settings, shard_journal& journal,
            std::uint64_t seed);

  /// Begins a term: takes up every job of the journal's state.
  void Rebuild(time_point now);

  /// Ends a term: answers those who wait and forgets all but the state.
  void Drop(shard_output& out);

  /// Accepts a job, or tells how it stands where it is known.
  /// @param durable  whether the acceptance would have a second copy; a known job is told anyway.
  void OnSubmit(const call_origin& from, const wire::job_accepted& job, bool durable,
                const job_context& context, shard_output& out);
  /// @param durable  whether another place can have the newest records.
  void OnStatus(const call_origin& from, const job_key& key, bool durable, shard_output& out);
  void OnCancel(const call_origin& from, const job_key& key, const job_context& context,
                shard_output& out);

  /// Takes in what a capacity shard says of an attempt.
  void OnEvent(shard_number from, const wire::place_event& event, const job_context& context,
               shard_output& out);

  /// A record of this shard became durable.
  void OnDurable(const wire::shard_record& record, const job_context& context, shard_output& out);

  /// Another term began in a capacity shard: its owner is asked again for what was placed there.
  void OnTermOf(shard_number shard, time_point now);

  void Tick(const job_context& context, shard_output& out);

  /// Sends the answers whose records another place has by now.
  void SendSecuredAnswers(shard_output& out);

  /// @return tasks that wait for room.
  [[nodiscard]] std::size_t Waiting() const noexcept { return waiting_; }

 private:
  enum class stage {
    kIdle,      ///< certainly nowhere: may be placed
    kSettling,  ///< a record is on its way to being durable
    kAsked,     ///< a capacity shard was asked
    kHeld,      ///< a gang's member whose room is held
    kRunning,
    kEnded,
  };

  /// What an attempt that is over leaves behind.
  struct attempt_effect {
    bool charged{false};  ///< counts against the retries
    bool ran{false};      ///< may have run
  };

  struct drive {
    stage at{stage::kIdle};
    time_point due{kNever};
    bool asked_before{false};
    bool stopping{false};
    std::string vm;
    std::optional<wire::place_ack> ack;  ///< sent once the record is durable
  };

  struct job_drive {
    std::vector<drive> tasks;
    std::vector<call_origin> submitters;  ///< told once the job is durable
    std::vector<call_origin> cancellers;
    time_point deadline{kNever};
    std::uint64_t changed{0};  ///< sequence of the newest record of this job
    bool gang_committing{false};
    bool gang_broken{false};
    time_point forget_at{kNever};
    std::set<shard_number> avoid;
    time_point avoid_until{};
  };

  [[nodiscard]] job_drive& DriveOf(const job_key& key) { return drives_.at(key); }
  [[nodiscard]] const task_slot& SlotOf(const task_key& key) const;
  [[nodiscard]] static bool IsGang(const job_entry& job) {
    return job.accepted.spec().kind() == wire::JOB_GANG;
  }
  [[nodiscard]] static bool IsService(const job_entry& job) {
    return job.accepted.spec().kind() == wire::JOB_SERVICE;
  }

  void TakeUp(const job_key& key, const job_entry& job, time_point now);
  void SetDue(const task_key& key, drive& task, time_point due);
  void SetStage(drive& task, stage at);

  void Step(const task_key& key, const job_context& context, shard_output& out);
  void StepIdle(const task_key& key, const job_context& context, shard_output& out);
  void StepGang(const job_key& key, const job_context& context, shard_output& out);
  void PlaceGang(const job_key& key, const job_context& context, shard_output& out);
  void CommitGangIfHeld(const job_key& key, time_point now);
  void BreakGang(const job_key& key, const job_context& context, shard_output& out);
  void RestartGangIfStill(const job_key& key, const job_context& context);
  void AskNow(const task_key& key, const job_context& context, shard_output& out);
  void Stop(const task_key& key, shard_output& out) const;
  [[nodiscard]] bool StopIfWanted(const task_key& key, const job_context& context,
                                  shard_output& out);
  void Ended(const task_key& key, const wire::place_event& event, const job_context& context);
  void EndTask(const task_key& key, wire::ending how);
  void Requeue(const task_key& key, const std::string& cause, attempt_effect effect,
               time_point due);
  void ForgetIfOld(const job_key& key, job_drive& job, time_point now);

  void Record(const job_key& key, wire::shard_record record);
  void WakeGang(const job_key& key, time_point due);
  [[nodiscard]] wire::capacity_message MessageTo(shard_number shard) const;
  [[nodiscard]] wire::placement_made WantOf(const task_key& key) const;
  void Answer(const call_origin& to, const job_key& key, shard_output& out);

  shard_number shard_;
  region_id region_;
  job_settings settings_;
  shard_journal& journal_;
  random_source random_;
  /// An answer that tells of records that only this process may hold yet.
  struct held_answer {
    std::uint64_t sequence{0};  ///< of the newest of them
    call_result answer;
  };

  std::map<job_key, job_drive> drives_;
  std::deque<held_answer> held_answers_;
  std::set<std::pair<time_point, task_key>> due_;
  std::vector<resources> no_room_;  ///< sizes that found none in this tick
  std::size_t waiting_{0};
};

}  // namespace rosearch

#endif  // ROSEARCH_SHARD_JOB_TABLE_H_
