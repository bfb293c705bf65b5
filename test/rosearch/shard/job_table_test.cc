#include "rosearch/shard/job_table.h"

#include <catch2/catch.hpp>
#include <string>
#include <vector>

namespace rosearch {
namespace {

using std::chrono::milliseconds;

constexpr shard_number kHome = 0;

wire::shard_summary SummaryOf(shard_number shard) {
  wire::shard_summary summary;
  summary.set_shard(shard);
  summary.set_epoch(1);
  return summary;
}

/// A home shard whose records are durable at once, in a cell whose shards are all full.
class home {
 public:
  home() {
    journal_.Start(1, {}, 0);
    static_cast<void>(cell_.OnSummary(SummaryOf(kHome), region_id{"sicily"}));
    static_cast<void>(cell_.OnSummary(SummaryOf(1), region_id{"uruguay"}));
    static_cast<void>(cell_.OnSummary(SummaryOf(2), region_id{"sicily"}));
    jobs_.Rebuild(now_);
  }

  void Submit(bool urgent) {
    wire::job_accepted job;
    job.mutable_spec()->set_customer("trinacria");
    job.mutable_spec()->set_job("swap");
    job.mutable_spec()->set_count(1);
    job.mutable_spec()->set_urgent(urgent);
    job.mutable_spec()->mutable_needs()->set_processors_milli(1000);
    job.mutable_treatment()->set_policy("urgent");
    jobs_.OnSubmit({"caller", 1, 1}, job, true, {now_, cell_}, out_);
    Flush();
  }
  /// @return the shards that were asked for a place within `span`; each refuses at once.
  std::vector<shard_number> Asked(duration span) {
    std::vector<shard_number> asked;
    for (const auto end = now_ + span; now_ < end; now_ += milliseconds{50}) {
      jobs_.Tick({now_, cell_}, out_);
      Flush();
      for (const auto& message : std::exchange(out_.capacity, {})) {
        if (!message.has_place()) continue;
        asked.push_back(message.to_shard());
        policy = message.place().policy();
        wire::place_event refused;
        *refused.mutable_ref() = message.place().want().ref();
        refused.set_kind(wire::PLACE_REFUSED);
        jobs_.OnEvent(message.to_shard(), refused, {now_, cell_}, out_);
        Flush();
      }
    }
    return asked;
  }

  std::string policy;  ///< of the last place that was asked for

 private:
  void Flush() {
    while (auto batch = journal_.TakeForLog()) {
      journal_.OnLogDurable(journal_.sequence());
      for (const auto& record : journal_.TakeDurable(durable_by::kLog)) {
        jobs_.OnDurable(record, {now_, cell_}, out_);
      }
    }
  }

  time_point now_{std::chrono::seconds{100}};
  shard_journal journal_{kHome};
  cell_view cell_;
  job_table jobs_{kHome, region_id{"sicily"}, {}, journal_, 1};
  shard_output out_;
};

constexpr time_point kNow{std::chrono::seconds{100}};
const std::string kGang = "trinacria/crew";

wire::shard_record GangOfTwo() {
  wire::shard_record record;
  auto& spec = *record.mutable_accepted()->mutable_spec();
  spec.set_customer("trinacria");
  spec.set_job("crew");
  spec.set_kind(wire::JOB_GANG);
  spec.set_count(2);
  spec.mutable_needs()->set_processors_milli(1000);
  record.mutable_accepted()->mutable_treatment()->set_retries(3);
  return record;
}

wire::task_ref FirstAttemptOf(const std::string& index) {
  wire::task_ref ref;
  ref.set_task(kGang + '#' + index);
  ref.set_attempt(1);
  return ref;
}

wire::shard_record Committed(const std::string& index) {
  wire::shard_record record;
  *record.mutable_placing()->mutable_ref() = FirstAttemptOf(index);
  record.mutable_placing()->set_target_shard(kHome);
  return record;
}

/// A shard with room for both.
wire::shard_summary Roomy() {
  auto summary = SummaryOf(kHome);
  summary.mutable_largest_room()->set_processors_milli(4000);
  summary.mutable_total_room()->set_processors_milli(4000);
  return summary;
}

}  // namespace

// Guards against a gang that waits for ever: one member failed, another ran on, and the owner that
// knew of it was replaced before that one ended.
TEST_CASE("a successor tries a gang again of which one member failed", "[single-run]") {
  shard_journal journal{kHome};
  journal.Start(1, {}, 0);
  journal.Propose(GangOfTwo());
  journal.Propose(Committed("0"));
  journal.Propose(Committed("1"));
  wire::shard_record failed;
  *failed.mutable_requeued()->mutable_ref() = FirstAttemptOf("0");
  failed.mutable_requeued()->set_ran(true);
  journal.Propose(failed);
  cell_view cell;
  static_cast<void>(cell.OnSummary(Roomy(), region_id{"sicily"}));
  job_table jobs{kHome, region_id{"sicily"}, {}, journal, 1};
  shard_output out;
  jobs.Rebuild(kNow);
  jobs.Tick({kNow, cell}, out);
  wire::place_event ended;
  *ended.mutable_ref() = FirstAttemptOf("1");
  ended.set_kind(wire::PLACE_ENDED);
  jobs.OnEvent(kHome, ended, {kNow, cell}, out);
  for (auto now = kNow; now < kNow + std::chrono::seconds{5}; now += milliseconds{50}) {
    jobs.Tick({now, cell}, out);
  }
  const auto* const job = journal.state().FindJob({"trinacria", "crew"});
  REQUIRE(job != nullptr);
  CHECK(job->tasks[1].state == wire::TASK_ENDED);
  CHECK(job->tasks[0].state == wire::TASK_PLACING);
  CHECK(job->tasks[0].attempt == 2);
}

// The cell is full, and the home shard runs nothing that may be stopped. Asking only there, urgent
// work would wait for ever while another shard has work to preempt.
TEST_CASE("urgent work asks one shard after the other to preempt") {
  home table;
  table.Submit(true);
  const auto asked = table.Asked(milliseconds{900});
  REQUIRE(asked.size() >= 3);
  CHECK(std::vector<shard_number>(asked.begin(), asked.begin() + 3) ==
        std::vector<shard_number>{kHome, 2, 1});
  CHECK(table.policy == "urgent");
  CHECK_FALSE(table.Asked(std::chrono::seconds{4}).empty());
}

TEST_CASE("work that isn't urgent waits for room") {
  home table;
  table.Submit(false);
  CHECK(table.Asked(std::chrono::seconds{2}).empty());
}

}  // namespace rosearch
