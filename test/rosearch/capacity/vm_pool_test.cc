#include "rosearch/capacity/vm_pool.h"

#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "fake_worker.h"

namespace rosearch::test {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr shard_number kShard = 3;
constexpr shard_number kHome = 7;
const vm_id kVm{"w0"};
const error kNoAnswer{error_kind::kTimeout, ""};
const error kNothingArrived{error_kind::kTargetUnreachable, ""};

/// A pool with workers of 8 processors; answers come at once unless a test says otherwise.
class bench {
 public:
  explicit bench(std::vector<std::string> vms = {"w0"}) : names_{std::move(vms)} {
    for (const auto& name : names_) workers_.emplace(vm_id{name}, fake_worker{kHolds, 1.0, 0});
  }

  void Acquire(const std::vector<wire::placement_made>& placements = {}, bool complete = true) {
    List();
    pool.OnAcquired(++epoch_, placements, complete, now, out);
    Run(seconds{0});
  }
  void List(bool leaving = false, std::uint64_t instance = 1) {
    std::vector<wire::vm_record> list;
    for (const auto& name : names_) {
      auto& vm = list.emplace_back();
      vm.set_vm(name);
      vm.set_address(name + ":1");
      vm.set_failure_domain("domain of " + name);
      vm.set_leaving(leaving);
      vm.set_instance(instance);
      *vm.mutable_holds() = internal::ToWire(kHolds);
    }
    pool.OnVmList(list, now, out);
  }

  /// Handles what the pool put out, then passes `span` in steps of 100 ms.
  void Run(duration span) {
    const auto end = now + span;
    for (Flush(); now < end; Flush()) {
      now += milliseconds{100};
      pool.Tick(now, out);
    }
  }
  void Flush() {
    while (!paused && (!out.records.empty() || !out.exchanges.empty() || !out.messages.empty())) {
      auto ready = std::exchange(out, {});
      for (const auto& record : ready.records) {
        journal.push_back(record);
        if (durable) pool.OnDurable(record, now, out);
      }
      for (const auto& message : ready.messages) events.push_back(message.event());
      for (const auto& exchange : ready.exchanges) {
        commands.push_back(exchange.command);
        if (fault && arrives)
          static_cast<void>(workers_.at(exchange.vm).Exchange(exchange.command, now));
        if (fault) {
          pool.OnExchangeFailed(exchange.vm, *fault, now, now, out);
        } else {
          auto& worker = workers_.at(exchange.vm);
          pool.OnReport(exchange.vm, worker.Exchange(exchange.command, now), now, now, out);
        }
      }
    }
  }

  wire::place_task Want(const std::string& task, std::uint32_t processors_milli = 1000) {
    wire::place_task place;
    *place.mutable_want()->mutable_ref() = RefOf({task, 1});
    place.mutable_want()->mutable_needs()->set_processors_milli(processors_milli);
    place.set_policy("pack");
    return place;
  }
  void Place(const wire::place_task& place, std::uint64_t home_epoch = 1) {
    wire::capacity_message message;
    *message.mutable_place() = place;
    Send(message, home_epoch);
  }
  void Stop(const std::string& task) {
    Name(task, [](auto& message) { return message.mutable_stop()->mutable_ref(); });
  }
  void Commit(const std::string& task) {
    Name(task, [](auto& message) { return message.mutable_commit()->mutable_ref(); });
  }
  void Ack(const std::string& task, wire::place_event_kind kind = wire::PLACE_ENDED) {
    Name(task, [kind](auto& message) {
      message.mutable_ack()->set_kind(kind);
      return message.mutable_ack()->mutable_ref();
    });
  }

  /// @return the events about a task as KIND or KIND:ERROR/DETAIL, repeats left out.
  [[nodiscard]] std::vector<std::string> Told(const std::string& task) const {
    std::vector<std::string> told;
    for (const auto& event : events) {
      if (event.ref().task() != task) continue;
      auto text = wire::place_event_kind_Name(event.kind()).substr(6);
      if (!event.how().error().kind().empty()) {
        text += ":" + event.how().error().kind() + "/" + event.how().error().detail();
      }
      if (told.empty() || told.back() != text) told.push_back(text);
    }
    return told;
  }
  /// Starts a task of 6 processors of which no record is left.
  void StartEarlier(const std::string& task) {
    wire::worker_command earlier;
    *earlier.add_starts()->mutable_ref() = RefOf({task, 1});
    earlier.mutable_starts(0)->mutable_needs()->set_processors_milli(6000);
    earlier.mutable_starts(0)->set_lease_ms(20000);
    static_cast<void>(worker().Exchange(earlier, now));
  }
  /// @return the VM that the last event about a task names.
  [[nodiscard]] std::string VmOf(const std::string& task) const {
    std::string vm;
    for (const auto& event : events) {
      if (event.ref().task() == task) vm = event.vm();
    }
    return vm;
  }
  [[nodiscard]] int StartsSent() const {
    int count = 0;
    for (const auto& command : commands) count += command.starts_size();
    return count;
  }
  [[nodiscard]] std::uint32_t FreeProcessors() const { return pool.TotalRoom().processors_milli(); }
  fake_worker& worker(const vm_id& vm = kVm) { return workers_.at(vm); }

  static constexpr resources kHolds{8000, 32000, 0};
  vm_pool pool{kShard, {}};
  pool_output out;
  time_point now{seconds{100}};
  bool durable{true};
  bool paused{};  ///< handles nothing that the pool puts out
  std::optional<error> fault;
  bool arrives{};  ///< with a fault: the command takes effect all the same
  std::vector<wire::place_event> events;
  std::vector<wire::worker_command> commands;
  std::vector<wire::shard_record> journal;

 private:
  template <typename F>
  void Name(const std::string& task, F ref_of) {
    wire::capacity_message message;
    *ref_of(message) = RefOf({task, 1});
    Send(message);
  }
  void Send(wire::capacity_message message, std::uint64_t home_epoch = 1) {
    message.set_from_shard(kHome);
    message.set_to_shard(kShard);
    message.set_from_epoch(home_epoch);
    pool.OnMessage(message, now, out);
    Flush();
  }

  std::vector<std::string> names_;
  std::map<vm_id, fake_worker> workers_;
  epoch_number epoch_{};
};

using told = std::vector<std::string>;

wire::placement_made MadeOn(const std::string& task, std::uint32_t processors_milli = 1000) {
  wire::placement_made made;
  *made.mutable_ref() = RefOf({task, 1});
  made.mutable_needs()->set_processors_milli(processors_milli);
  made.set_vm("w0");
  made.set_home_shard(kHome);
  return made;
}

}  // namespace

// The owner dies after it sent a start whose record nobody has. Its successor would commit the same
// room again and the VM would run more than it holds.
TEST_CASE("a start is sent only once its record is durable", "[no-overcommit]") {
  bench b;
  b.Acquire();
  b.durable = false;
  b.Place(b.Want("j/1"));
  b.Run(seconds{3});
  CHECK(b.StartsSent() == 0);
  CHECK(b.FreeProcessors() == 7000);
  b.pool.OnDurable(b.journal.back(), b.now, b.out);
  b.Run(seconds{1});
  CHECK(b.StartsSent() == 1);
  CHECK(b.Told("j/1") == told{"STARTED"});
}

// Messages are lost, so home shards repeat them. Taken as new ones, each copy would start the task
// once more, also when it ended long ago.
TEST_CASE("a repeated placement starts nothing twice", "[single-run]") {
  bench b;
  b.Acquire();
  auto place = b.Want("j/1");
  place.mutable_want()->set_run_ms(2000);
  for (int i = 0; i < 3; ++i) b.Place(place);
  b.Run(seconds{6});
  b.Place(place);
  CHECK(b.StartsSent() == 1);
  CHECK(b.Told("j/1") == told{"STARTED", "ENDED"});
  const auto before = b.events.size();
  b.Run(seconds{5});
  CHECK(b.events.size() > before + 3);
  b.Ack("j/1");
  const auto acknowledged = b.events.size();
  b.Run(seconds{60});
  CHECK(b.events.size() == acknowledged);
  b.Place(place);
  CHECK(b.StartsSent() == 1);
  CHECK(b.journal.back().has_freed());
  CHECK(b.FreeProcessors() == 8000);
}

// An owner of the home shard that was overtaken wakes up and sends what its successor has undone.
TEST_CASE("messages of an overtaken home shard are ignored", "[single-run]") {
  bench b;
  b.Acquire();
  b.Place(b.Want("j/1"), 5);
  b.Place(b.Want("j/2"), 4);
  CHECK(b.StartsSent() == 1);
}

// A gang's home shard dies between hold and commit. Without a deadline the room would be lost.
TEST_CASE("a hold keeps room until it is committed or lapses") {
  bench b;
  b.Acquire();
  for (const auto* task : {"g/1", "g/2", "g/3"}) {
    auto place = b.Want(task);
    place.set_hold(true);
    place.set_hold_ms(2000);
    b.Place(place);
  }
  CHECK(b.FreeProcessors() == 5000);
  CHECK(b.journal.empty());
  b.Commit("g/1");
  b.Stop("g/3");
  b.Commit("g/9");
  b.Run(seconds{3});
  CHECK(b.Told("g/1") == told{"HELD", "STARTED"});
  CHECK(b.Told("g/2") == told{"HELD", "REFUSED:overloaded/its hold lapsed"});
  CHECK(b.Told("g/3") == told{"HELD", "REFUSED:cancelled/stopped"});
  CHECK(b.Told("g/9") == told{"REFUSED:overloaded/not held"});
  CHECK(b.FreeProcessors() == 7000);
}

// A worker tells nothing by itself. Asked only with the renewals, a task of two seconds would keep
// its room for five, and what waits for that room as well.
TEST_CASE("an end is noticed soon after its declared time") {
  bench b;
  b.Acquire();
  b.worker().stretch = GENERATE(1, 3);
  auto place = b.Want("j/1");
  place.mutable_want()->set_run_ms(2000);
  b.Place(place);
  b.Run(milliseconds{2000 * b.worker().stretch + 600});
  CHECK(b.Told("j/1") == told{"STARTED", "ENDED"});
}

// Tasks are declared a hundred times too short. Looked for at every moment at which one may end,
// they would keep the entry busy with nothing else.
TEST_CASE("looks stay within the budget of a VM whatever was declared") {
  bench b;
  b.Acquire();
  b.worker().stretch = 100;
  for (int number = 1; number <= 8; ++number) {
    auto place = b.Want("j/" + std::to_string(number));
    place.mutable_want()->set_run_ms(static_cast<std::uint32_t>(1000 + number));
    b.Place(place);
  }
  const auto before = b.commands.size();
  b.Run(seconds{60});
  const pool_settings settings;
  const auto looks = seconds{60} / settings.look_every + 4;
  const auto renewals = 2 * (seconds{60} / settings.renew_interval);
  CHECK(b.commands.size() - before <= static_cast<std::size_t>(looks + renewals));
  CHECK(b.FreeProcessors() == 0);
}

// The acknowledgement of a start is under way when the task ends. Taken for one of the end, it
// would leave the home shard waiting for a task that is over, and its job would never end.
TEST_CASE("an acknowledgement of an earlier event doesn't silence the end") {
  bench b;
  b.Acquire();
  auto place = b.Want("j/1");
  place.mutable_want()->set_run_ms(1000);
  b.Place(place);
  b.Run(seconds{2});
  REQUIRE(b.Told("j/1") == told{"STARTED", "ENDED"});
  b.Ack("j/1", wire::PLACE_STARTED);
  const auto before = b.events.size();
  b.Run(seconds{3});
  CHECK(b.events.size() > before);
  CHECK_FALSE(b.journal.back().has_freed());
  b.Ack("j/1", wire::PLACE_ENDED);
  CHECK(b.journal.back().has_freed());
}

// A service has a replica in one failure domain when its shard changes hands. A new owner that
// doesn't know the group puts the next one beside it, and one failure stops both.
TEST_CASE("tasks of a job stay spread after a takeover") {
  bench b{{"w0", "w1"}};
  auto replica = MadeOn("s/1", 1000);
  replica.set_spread_over("s");
  auto other = MadeOn("other/1", 5000);
  other.set_vm("w1");
  b.Acquire({replica, other});
  auto next = b.Want("s/2");
  next.mutable_want()->set_spread_over("s");
  next.set_policy("spread");
  b.Place(next);
  CHECK(b.VmOf("s/2") == "w1");
  CHECK(b.journal.back().placed().spread_over() == "s");
}

TEST_CASE("the policy that a rule names chooses the VM") {
  const std::vector<std::pair<std::string, std::string>> rows{
      {"pack", "w0"}, {"quick", "w1"}, {"spread", "w1"}, {"urgent", "w1"}};
  for (const auto& [policy, vm] : rows) {
    INFO(policy);
    bench b{{"w0", "w1"}};
    b.Acquire();
    b.Place(b.Want("first/1", 3000));
    REQUIRE(b.VmOf("first/1") == "w0");
    auto place = b.Want("j/1");
    place.set_policy(policy);
    b.Place(place);
    CHECK(b.VmOf("j/1") == vm);
  }
  bench b;
  b.Acquire();
  auto place = b.Want("j/1");
  place.set_policy("none");
  b.Place(place);
  CHECK(b.Told("j/1").front().starts_with("REFUSED:invalid_request"));
}

// Every VM of the shard is full, and what runs there doesn't stop when told to save its progress.
// Urgent work was promised to start within 5.2 s.
TEST_CASE("urgent work starts within 5.2 s in a full shard") {
  bench b{{"w0", "w1", "w2", "w3"}};
  b.Acquire();
  const bool slow = GENERATE(false, true);
  for (const auto* const name : {"w0", "w1", "w2", "w3"}) {
    b.worker(vm_id{name}).never_checkpoints = slow;
  }
  for (int number = 1; number <= 32; ++number) {
    auto low = b.Want("low/" + std::to_string(number));
    low.mutable_want()->set_preemptible(true);
    low.mutable_want()->set_priority(1);
    b.Place(low);
  }
  REQUIRE(b.FreeProcessors() == 0);
  for (int number = 1; number <= 4; ++number) {
    auto urgent = b.Want("u/" + std::to_string(number), 4000);
    urgent.set_urgent(true);
    urgent.set_policy("urgent");
    urgent.mutable_want()->set_priority(9);
    b.Place(urgent);
  }
  b.Run(slow ? milliseconds{2500} : milliseconds{300});
  for (int number = 1; number <= 4; ++number) {
    CHECK(b.Told("u/" + std::to_string(number)) == told{"STARTED"});
  }
}

// Urgent work arrives at a full VM. Started before the preempted tasks have stopped it would
// overcommit; with the freed room open to all it would wait for ever.
TEST_CASE("urgent work starts in the room of preempted tasks", "[no-overcommit]") {
  bench b;
  b.Acquire();
  for (const auto* task : {"a/1", "a/2"}) {
    auto low = b.Want(task, 3000);
    low.mutable_want()->set_preemptible(true);
    b.Place(low);
  }
  auto urgent = b.Want("u/1", 8000);
  urgent.set_urgent(true);
  urgent.mutable_want()->set_priority(9);
  SECTION("the victims stop") {
    b.paused = true;
    b.Place(urgent);
    b.Place(b.Want("other/1", 1000));  // it would fit, were the VM open
    b.paused = false;
    b.Run(seconds{1});
    CHECK(b.Told("a/1") == told{"STARTED", "ENDED:interrupted/preempted"});
    CHECK(b.Told("u/1") == told{"STARTED"});
    CHECK(b.Told("other/1") == told{"REFUSED:overloaded/no room"});
  }
  SECTION("the worker doesn't answer") {
    b.fault = kNoAnswer;
    b.Place(urgent);
    b.Run(seconds{6});
    CHECK(b.Told("u/1").front().starts_with("REFUSED:overloaded"));
    CHECK(b.Told("a/1") == told{"STARTED"});
    const auto& last = b.commands.back();
    CHECK(last.stops_size() == 2);  // the checkpoint became a stop
  }
}

// A VM stops answering while its tasks may go on. Told lost too early, a task would start elsewhere
// and run in two places; renewed for ever, it would never start again.
TEST_CASE("tasks of an unreachable VM are lost only after their lease", "[single-run]") {
  bench b;
  b.Acquire();
  b.Place(b.Want("j/1"));
  b.Run(seconds{1});
  b.fault = GENERATE(kNoAnswer, kNothingArrived);
  const auto settings = pool_settings{};
  time_point last_renewal = b.now;
  while (b.Told("j/1").size() == 1 && b.now < time_point{seconds{300}}) {
    const auto seen = b.commands.size();
    b.Run(milliseconds{100});
    for (auto i = seen; i < b.commands.size(); ++i) {
      const bool may_arrive = b.fault->kind == error_kind::kTimeout;
      if (may_arrive && b.commands[i].renew_ms() > 0) last_renewal = b.now;
    }
  }
  CHECK(b.Told("j/1").back().starts_with("LOST:target_lost"));
  CHECK(b.now < time_point{seconds{160}});
  CHECK(b.FreeProcessors() == 0);  // closed until it answers
  if (b.fault->kind == error_kind::kTimeout) {
    CHECK(b.now - last_renewal >= settings.lease + settings.transit);
  }
}

// A VM is replaced at its old address, and the list doesn't show it yet. The new instance knows
// nothing of a task that its customer believes to be running.
TEST_CASE("a new instance is noticed by its reports") {
  bench b;
  b.Acquire();
  for (const auto* task : {"j/1", "j/2", "j/3"}) b.Place(b.Want(task));
  b.Run(seconds{4});
  b.worker() = fake_worker{bench::kHolds, 1.0, 1};
  b.Run(seconds{8});
  CHECK(b.Told("j/1").back().starts_with("LOST:target_lost"));
  CHECK(b.FreeProcessors() == 8000);
}

// A start gets no answer, then the worker says that it knows no such task. It may be a new instance
// whose predecessor ran it: "not run" could be a lie.
TEST_CASE("a start without an answer is never told not run", "[truthful-not-run]") {
  struct row {
    error fault;
    told expected;
  };
  const auto row = GENERATE(values<struct row>({
      {kNoAnswer, {"LOST:target_lost/its worker no longer knows it"}},
      {kNothingArrived, {"ENDED:target_unreachable/its VM took no start"}},
  }));
  bench b;
  b.Acquire();
  b.fault = row.fault;
  b.Place(b.Want("j/1"));
  b.fault.reset();
  b.Run(seconds{5});
  CHECK(b.Told("j/1") == row.expected);
  CHECK(b.FreeProcessors() == 8000);
}

// A takeover with records missing: a task that nobody knows may run on a worker. Refused, it would
// start elsewhere too, and the caller of an order would hear "not run" of one that was placed.
TEST_CASE("without all records an unknown attempt is lost, and only once it can't run",
          "[truthful-not-run]") {
  bench b;
  const bool runs = GENERATE(false, true);
  if (runs) b.StartEarlier("j/1");
  b.Acquire({}, false);
  auto again = b.Want("j/1", 6000);
  again.set_repeated(true);
  b.Place(again);
  CHECK(b.Told("j/1").empty() != runs);
  CHECK(b.FreeProcessors() == 0);  // not open yet
  b.Run(seconds{3});
  CHECK(b.FreeProcessors() == (runs ? 2000 : 8000));
  // The next owner must know of it: once as found, once with its home shard.
  CHECK(b.journal.size() == (runs ? 2 : 0));
  b.Run(seconds{20});
  b.Place(again);
  CHECK(b.Told("j/1").front().starts_with(runs ? "STARTED" : "LOST:interrupted"));
  CHECK(b.StartsSent() == 0);
}

// As above, and the worker's answers get lost. Renewed unseen, its task would outlive the moment at
// which it is told lost, and run in two places.
TEST_CASE("a worker with unknown tasks is not renewed", "[single-run]") {
  bench b;
  b.StartEarlier("j/1");
  b.fault = kNoAnswer;
  b.arrives = true;
  b.Acquire({MadeOn("known/1")}, false);
  auto again = b.Want("j/1", 6000);
  again.set_repeated(true);
  while (b.Told("j/1").empty()) {
    b.Run(seconds{1});
    b.Place(again);
  }
  b.worker().Advance(b.now);
  CHECK(b.Told("j/1").front().starts_with("LOST"));
  CHECK(b.worker().RunningOf("j/1") == 0);
}

// The owner is replaced between a task's end and the home shard's acknowledgement. A successor that
// knew nothing of the attempt would run it again when asked again.
TEST_CASE("an end that nobody acknowledged outlives the owner", "[single-run]") {
  bench b;
  b.Acquire();
  auto place = b.Want("j/1");
  place.mutable_want()->set_run_ms(1000);
  b.Place(place);
  b.Run(seconds{5});
  CHECK(b.journal.size() == 1);
  b.events.clear();
  b.pool.OnLost(b.now);
  b.Acquire({b.journal.front().placed()});
  place.set_repeated(true);
  b.Place(place);
  CHECK(b.Told("j/1") == told{"ENDED"});
  CHECK(b.StartsSent() == 1);
}

// A task is adopted that the worker doesn't list. The predecessor's start may still be on its way.
TEST_CASE("an adopted task counts as committed until it can't arrive any more", "[no-overcommit]") {
  bench b;
  b.Acquire({MadeOn("j/1", 5000)});
  CHECK(b.FreeProcessors() == 3000);
  b.Run(milliseconds{1900});
  CHECK(b.Told("j/1").empty());
  CHECK(b.FreeProcessors() == 3000);
  b.Run(seconds{1});
  CHECK(b.Told("j/1").back().starts_with("LOST"));
  CHECK(b.FreeProcessors() == 8000);
}

// A VM is about to go. Work sent to it would be cut off; a service on it would stop with it.
TEST_CASE("a leaving VM gets no start and its services move", "[leaving-targets]") {
  bench b;
  b.Acquire();
  auto brief = b.Want("brief/1");
  brief.mutable_want()->set_run_ms(30000);
  auto once = b.Want("once/1");
  once.mutable_want()->set_at_most_once(true);
  for (const auto& place : {b.Want("service/1"), brief, once}) b.Place(place);
  auto held = b.Want("held/1");
  held.set_hold(true);
  held.set_hold_ms(60000);
  b.Place(held);
  b.durable = false;
  b.Place(b.Want("late/1"));
  const auto late = b.journal.back();
  const bool by_list = GENERATE(false, true);
  if (by_list) b.List(true);
  if (!by_list) b.pool.OnDrain(kVm, true, b.now, b.out);
  b.pool.OnDurable(late, b.now, b.out);
  b.Run(seconds{2});
  CHECK(b.StartsSent() == 3);
  CHECK(b.Told("service/1") == told{"STARTED", "ENDED:interrupted/drained"});
  CHECK(b.Told("brief/1") == told{"STARTED"});
  CHECK(b.Told("once/1") == told{"STARTED"});
  CHECK(b.Told("held/1").back() == "REFUSED:overloaded/its VM is leaving");
  CHECK(b.Told("late/1") == told{"ENDED:target_unreachable/its VM took no start"});
  b.Place(b.Want("new/1"));
  CHECK(b.Told("new/1") == told{"REFUSED:overloaded/no room"});
}

// A cancel crosses the renewal of the same worker, or gets lost with it.
TEST_CASE("a stop is repeated until the worker has ended the task", "[single-run]") {
  bench b;
  b.Acquire();
  b.Place(b.Want("j/1"));
  b.fault = kNoAnswer;
  b.Stop("j/1");
  b.Run(seconds{8});
  b.fault.reset();
  b.Run(seconds{2});
  CHECK(b.Told("j/1") == told{"STARTED", "ENDED:interrupted/stopped"});
  for (const auto& command : b.commands) {
    if (command.renew_ms() > 0) CHECK(command.stops_size() + command.starts_size() <= 1);
  }
  b.Place(b.Want("j/1"));
  CHECK(b.StartsSent() == 1);
}

// A worker that fails everything is always free, so that a packing policy sends it one task after
// the other.
TEST_CASE("a VM that refuses everything gets no more work") {
  bench b{{"w0", "w1", "w2"}};
  b.Acquire();
  b.worker(kVm).refuses = true;
  int refused = 0;
  for (int i = 0; i < 40; ++i) {
    const auto task = "job" + std::to_string(i) + "/1";
    auto place = b.Want(task, 100);
    place.mutable_want()->set_run_ms(500);
    place.set_policy(i % 2 == 0 ? "quick" : "pack");
    b.Place(place);
    b.Run(seconds{2});
    refused += b.Told(task).back().starts_with("ENDED:target_refused") ? 1 : 0;
  }
  CHECK(refused >= 4);
  CHECK(refused <= 12);
}

}  // namespace rosearch::test
