#include "rosearch/cell/queue_shedding.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <memory>
#include <string>

#include "rosearch/admission/id_filter.h"
#include "rosearch/cell/fake_ports.h"
#include "rosearch/wire/cell.pb.h"

namespace rosearch::cell {
namespace {

/// A leader of a cell with customers and one worker.
class busy_leader : public leader_fixture {
 public:
  busy_leader() : leader_fixture{1, {}, {}, {}, fake_ports::kWithCustomers} {
    ports.runs_last = true;
  }
  std::shared_ptr<caller_answer> Submit(const std::string& id) {
    return SendWithKey("POST", "/open/" + id, "");
  }
  /// Submits jobs for 2 s of work beyond what the worker runs, all before the leader measures its
  /// load again, then others until the queue is closed.
  void SubmitUntilClosed() {
    constexpr int kRunning = 80;
    constexpr int kWaiting = 1'700;
    for (int number = 0; number < kRunning; ++number) {
      Submit("running" + std::to_string(number));
    }
    Run(milliseconds{100});
    for (int number = 0; number < kWaiting; ++number) {
      Submit("waiting" + std::to_string(number));
    }
    for (int number = 0; number < 200 && !Logged("queue_closed"); ++number) {
      Submit("refused" + std::to_string(number));
      Run(milliseconds{10});
    }
    Run(milliseconds{60});
  }
  [[nodiscard]] bool Logged(const std::string& event) const {
    return std::ranges::any_of(log.lines, [&](const auto& line) {
      return line.find("event=" + event) != std::string::npos;
    });
  }
};

}  // namespace

// Guards against entries that refuse a job of which an earlier try was accepted, and against a
// window that a successor of this leader doesn't know of.
TEST_CASE("a queue whose jobs are all refused is closed with the ids of the known jobs") {
  busy_leader cell;
  cell.SubmitUntilClosed();
  REQUIRE(cell.Logged("queue_closed"));
  CHECK(cell.Submit("new")->status == 429);
  CHECK(cell.Submit("new")->retry_after_s > 0);
  CHECK(cell.Submit("waiting1")->status == 200);
  CHECK(cell.ports.stored.contains("shed"));
  const auto offer = cell.instance->MakeShedOffer();
  REQUIRE(offer.version > 0);
  wire::peer_frame frame;
  REQUIRE(frame.ParseFromString(offer.window + *offer.filter));
  REQUIRE(frame.pong().shed_queues_size() == 2);
  CHECK(frame.pong().shed_queues(0).retry_after_ms() == 0);
  CHECK(frame.pong().shed_queues(1).path_prefix() == "/open/");
  CHECK(frame.pong().shed_queues(1).retry_after_ms() >= 1'000);
  const admission::id_filter filter{frame.pong().shed_filter(), offer.version};
  CHECK(filter.MayContain("running1"));
  CHECK(filter.MayContain("waiting1"));
  CHECK_FALSE(filter.MayContain("refused199"));
}

// Guards against a leader that is cut off from the store, has been replaced and doesn't know it.
TEST_CASE("a leader without the store sends no more windows") {
  busy_leader cell;
  cell.SubmitUntilClosed();
  REQUIRE(cell.instance->MakeShedOffer().version > 0);
  cell.ports.drop_appends = true;
  cell.Run(milliseconds{700});
  CHECK(cell.instance->MakeShedOffer().version == 0);
  CHECK(cell.Submit("new")->status == 429);
}

// Guards against a job that a new leader accepts while an entry refuses it by a window of the
// former leader.
TEST_CASE("a new leader accepts no job of a closed queue until its windows have expired") {
  wire::stored_shed_queues record;
  record.add_queues()->set_queue("host/jobs/");
  record.mutable_queues(0)->set_config_version(1);
  leader_fixture cell;
  cell.instance->End("replaced");
  cell.ports.stored["shed"] = record.SerializeAsString();
  leader_hooks hooks;
  hooks.watch_pause = [] { return duration{}; };
  hooks.on_end = [] {};
  cell.instance = std::make_shared<leader<fake_ports>>(cell.io, cell.ports, leader_settings{}, 2,
                                                       cell.log, cell.metrics, std::move(hooks));
  cell.ports.next_sequence.reset();
  cell.instance->Begin();
  cell.Run(milliseconds{60});
  REQUIRE(cell.instance->Serving());
  CHECK(cell.SendCall("POST", "a", "job")->status == 429);
  cell.Run(milliseconds{1'000});
  const auto accepted = cell.SendCall("POST", "a", "job");
  cell.Run(milliseconds{50});
  CHECK(accepted->status == 200);
  CHECK(cell.ports.stored["shed"].empty());
}

// Guards against closed queues in cells that don't ask for them.
TEST_CASE("no queue is closed without customers") {
  leader_fixture cell;
  cell.ports.runs_last = true;
  for (int number = 0; number < 80; ++number) {
    cell.SendCall("POST", "running" + std::to_string(number), "job");
  }
  cell.Run(milliseconds{100});
  for (int number = 0; number < 1'700; ++number) {
    cell.SendCall("POST", "waiting" + std::to_string(number), "job");
  }
  for (int number = 0; number < 80; ++number) {
    cell.SendCall("POST", "refused" + std::to_string(number), "job");
    cell.Run(milliseconds{10});
  }
  CHECK(cell.SendCall("POST", "new", "job")->status == 429);
  CHECK(cell.instance->MakeShedOffer().version == 0);
  CHECK_FALSE(cell.ports.stored.contains("shed"));
}

}  // namespace rosearch::cell
