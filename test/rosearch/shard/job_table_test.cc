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

}  // namespace

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
