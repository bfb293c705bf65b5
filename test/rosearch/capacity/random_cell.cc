#include "random_cell.h"

#include <algorithm>
#include <utility>

namespace rosearch::test {
namespace {

constexpr shard_number kShard = 3;
constexpr shard_number kHome = 7;
constexpr std::size_t kMostAsked = 14;
constexpr resources kHolds{16000, 64000, 2};

pool_settings Settings() {
  pool_settings settings;
  settings.lease = std::chrono::seconds{12};
  settings.renew_interval = std::chrono::seconds{3};
  settings.renew_limit = std::chrono::seconds{5};
  settings.remember = std::chrono::seconds{20};
  settings.proof_span = std::chrono::seconds{8};
  settings.long_running = std::chrono::seconds{10};
  return settings;
}

}  // namespace

random_cell::random_cell(std::uint64_t seed) : random_{seed} {
  for (int i = 0; i < 4; ++i) {
    const vm_id name{"w" + std::to_string(i)};
    auto& added = vms_[name];
    added.rate = 0.992 + 0.001 * static_cast<double>(random_.Between(0, 16));
    added.listed.set_vm(name.value());
    added.listed.set_address(name.value() + ":80");
    added.listed.set_instance(1);
    *added.listed.mutable_holds() = internal::ToWire(kHolds);
    Replace(name);
  }
  pool_ = std::make_unique<vm_pool>(kShard, Settings());
  TakeOver();
}

void random_cell::Run() {
  const auto run_until = [this](time_point end) {
    while (now_ < end) Step();
  };
  run_until(now_ + std::chrono::seconds{120});
  faults_ = false;
  leaving_.clear();
  Publish();
  run_until(now_ + std::chrono::seconds{30});
  closing_ = true;
  run_until(now_ + std::chrono::seconds{45});
}

bool random_cell::IsAllFree() const { return pool_->Usage().empty(); }

void random_cell::Step() {
  now_ += std::chrono::milliseconds{50};
  while (!agenda_.empty() && agenda_.begin()->first <= now_) {
    auto node = agenda_.extract(agenda_.begin());
    node.mapped()();
  }
  if (faults_) Disturb();
  Home();
  Call([&](pool_output& out) { pool_->Tick(now_, out); });
  CheckWorkers();
}

void random_cell::Disturb() {
  if (random_.Chance(0.003)) TakeOver();
  for (auto& [name, state] : vms_) {
    if (random_.Chance(0.002)) state.frozen_until = now_ + Span(500, 20000);
    if (random_.Chance(0.0008)) Replace(name);
    if (random_.Chance(0.001)) state.worker->refuses = !state.worker->refuses;
    if (random_.Chance(0.001)) {
      const auto vm = name;
      const bool leaves = !leaving_.contains(vm);
      leaves ? static_cast<void>(leaving_.insert(vm)) : static_cast<void>(leaving_.erase(vm));
      Call([&](pool_output& out) { pool_->OnDrain(vm, leaves, now_, out); });
    }
  }
}

void random_cell::Replace(const vm_id& name) {
  auto& state = vms_.at(name);
  ++state.instance;
  state.worker = std::make_unique<fake_worker>(kHolds, state.rate,
                                               static_cast<std::uint64_t>(random_.Between(0, 5)));
  state.worker->on_start = [this](const attempt_key& key) { OnStart(key); };
  state.frozen_until = {};
  At(now_ + Span(0, 5000), [this] { Publish(); });
}

void random_cell::Publish() {
  std::vector<wire::vm_record> list;
  for (auto& [name, state] : vms_) {
    state.listed.set_instance(state.instance);
    if (!Fault(0.05)) list.push_back(state.listed);
  }
  if (list.size() < vms_.size()) At(now_ + Span(3000, 30000), [this] { Publish(); });
  pool_output out;
  pool_->OnVmList(list, now_, out);
  for (const auto& [name, state] : vms_) {
    pool_->OnDrain(name, leaving_.contains(name), now_, out);
  }
  Take(out);
}

void random_cell::TakeOver() {
  // What the old owner wrote stays on its way; its answers and its unwritten records are lost.
  ++epoch_;
  ++takeovers_;
  while (!pending_.empty() && random_.Chance(0.5)) {
    durable_.push_back(pending_.front());
    pending_.pop_front();
  }
  pending_.clear();
  const bool complete = epoch_ == 1 || (pool_->complete() && random_.Chance(0.7));
  for (auto lost = complete ? 0 : random_.Between(0, 12); lost > 0 && !durable_.empty(); --lost) {
    durable_.pop_back();
  }
  std::map<attempt_key, wire::placement_made> live;
  for (const auto& record : durable_) {
    if (record.has_placed()) live[KeyOf(record.placed().ref())] = record.placed();
    if (record.has_freed()) live.erase(KeyOf(record.freed().ref()));
  }
  std::vector<wire::placement_made> placements;
  placements.reserve(live.size());
  for (const auto& [key, made] : live) placements.push_back(made);
  pool_ = std::make_unique<vm_pool>(kShard, Settings());
  Publish();
  Call([&](pool_output& out) { pool_->OnAcquired(epoch_, placements, complete, now_, out); });
}

void random_cell::AskNew() {
  const auto task = "job" + std::to_string(random_.Between(0, 2)) + "/" + std::to_string(++tasks_);
  auto& added = asked_[{task, 1}];
  auto& want = *added.place.mutable_want();
  *want.mutable_ref() = RefOf({task, 1});
  *want.mutable_needs() = internal::ToWire({random_.Between(1, 16) * 500, 1000, 0});
  want.set_customer("calandria");
  want.set_run_ms(
      static_cast<std::uint32_t>(random_.Chance(0.3) ? 0 : random_.Between(200, 15000)));
  want.set_priority(static_cast<std::uint32_t>(random_.Between(0, 3)));
  want.set_preemptible(random_.Chance(0.6));
  want.set_at_most_once(random_.Chance(0.2));
  added.place.set_policy(random_.Chance(0.5) ? "pack" : "quick");
  added.place.set_hold(random_.Chance(0.2));
  added.place.set_hold_ms(2000);
  added.place.set_urgent(!added.place.hold() && random_.Chance(0.2));
  if (added.place.urgent()) want.set_priority(9);
}

void random_cell::Home() {
  if (!closing_ && asked_.size() < kMostAsked && random_.Chance(0.2)) AskNew();
  for (auto& [key, asked] : asked_) {
    if (!asked.stop && (closing_ || random_.Chance(0.001))) {
      asked.stop = true;
      asked.again_at = now_;
    }
    if (asked.again_at > now_) continue;
    asked.again_at = now_ + std::chrono::seconds{1};
    asked.epoch = epoch_;
    wire::capacity_message message;
    if (asked.stop) {
      *message.mutable_stop()->mutable_ref() = RefOf(key);
    } else if (asked.held) {
      *message.mutable_commit()->mutable_ref() = RefOf(key);
    } else {
      *message.mutable_place() = asked.place;
      asked.place.set_repeated(true);
    }
    SendToPool(std::move(message));
  }
}

void random_cell::SendToPool(wire::capacity_message message) {
  message.set_from_shard(kHome);
  message.set_to_shard(kShard);
  message.set_from_epoch(1);
  for (int copies = Fault(0.1) ? 2 : 1; copies > 0; --copies) {
    if (Fault(0.1)) continue;
    At(now_ + Span(0, Fault(0.05) ? 5000 : 200), [this, message, epoch = epoch_] {
      if (epoch != epoch_) return;  // addressed to a process that is gone
      Call([&](pool_output& out) { pool_->OnMessage(message, now_, out); });
    });
  }
}

void random_cell::OnEvent(const wire::capacity_message& message) {
  const auto& event = message.event();
  const auto key = KeyOf(event.ref());
  const bool final = event.kind() == wire::PLACE_REFUSED || event.kind() == wire::PLACE_ENDED ||
                     event.kind() == wire::PLACE_LOST;
  const auto found = asked_.find(key);
  if (found != asked_.end() && message.from_epoch() < found->second.epoch) return;
  if (final) {
    wire::capacity_message ack;
    *ack.mutable_ack()->mutable_ref() = event.ref();
    ack.mutable_ack()->set_kind(event.kind());
    SendToPool(std::move(ack));
  }
  if (found == asked_.end()) return;
  if (event.kind() == wire::PLACE_HELD && !found->second.held) {
    found->second.held = true;
    found->second.again_at = now_ + Span(0, 3000);
  }
  if (!final) return;
  const auto& error = event.how().error().kind();
  const bool done = error.empty();
  if (!done && AnswerFor(ErrorKindFromName(error)).effect == outcome::kNotRun) {
    not_run_.insert(key);
    found_.ran_after_not_run += ran_.contains(key) ? 1 : 0;
  }
  auto next = asked_.extract(found);
  if (done || next.mapped().stop || next.mapped().place.want().at_most_once() || closing_) return;
  const attempt_key again{key.task, key.attempt + 1};
  next.key() = again;
  auto& asked = next.mapped();
  *asked.place.mutable_want()->mutable_ref() = RefOf(again);
  asked.place.set_repeated(false);
  asked.held = false;
  asked.again_at = now_ + Span(0, 1000);
  asked_.insert(std::move(next));
}

void random_cell::Take(const pool_output& out) {
  for (const auto& record : out.records) {
    pending_.push_back(record);
    At(now_ + Span(0, 300), [this, epoch = epoch_] {
      if (epoch != epoch_ || pending_.empty()) return;
      const auto durable = pending_.front();
      pending_.pop_front();
      durable_.push_back(durable);
      Call([&](pool_output& more) { pool_->OnDurable(durable, now_, more); });
    });
  }
  for (const auto& message : out.messages) {
    if (Fault(0.1)) continue;
    At(now_ + Span(0, Fault(0.05) ? 5000 : 200), [this, message] { OnEvent(message); });
  }
  for (const auto& exchange : out.exchanges) {
    if (exchange.carries_starts && leaving_.contains(exchange.vm)) ++found_.started_while_leaving;
    At(now_ + Span(0, 20), [this, exchange, epoch = epoch_] {
      if (epoch == epoch_) Write(exchange);
    });
  }
}

void random_cell::Write(const worker_exchange& exchange) {
  const written when{now_, epoch_, vms_.at(exchange.vm).instance};
  if (Fault(0.03)) return Fail(exchange.vm, when, error_kind::kTargetUnreachable);
  const bool doubled = Fault(0.05);
  const bool lost = Fault(0.05);
  const bool late = Fault(0.05);
  // The answer counts only within a second; what comes later takes effect without one.
  const bool frozen = vms_.at(exchange.vm).frozen_until > now_ + std::chrono::milliseconds{900};
  const bool unanswered = lost || late || frozen || Fault(0.05);
  if (doubled) {
    At(now_ + Span(0, 1999), [=, this] { Deliver(exchange, when, false); });
  }
  if (!lost) {
    const auto arrives = late ? now_ + Span(1000, 1999) : now_ + Span(0, 40);
    At(arrives, [=, this] { Deliver(exchange, when, !unanswered); });
  }
  if (!unanswered) return;
  At(now_ + std::chrono::seconds{1}, [=, this] { Fail(exchange.vm, when, error_kind::kTimeout); });
}

void random_cell::Fail(const vm_id& vm, const written& when, error_kind kind) {
  if (when.epoch != epoch_) return;
  Call([&](pool_output& out) {
    pool_->OnExchangeFailed(vm, {kind, "fault"}, when.sent_at, now_, out);
  });
}

void random_cell::Deliver(const worker_exchange& exchange, const written& when, bool answers) {
  auto& state = vms_.at(exchange.vm);
  // No connection outlives the instance that it was made to.
  const bool gone = state.instance != when.instance;
  if (gone || state.frozen_until > now_) {
    const auto thaw = state.frozen_until;
    if (!gone && thaw < when.sent_at + std::chrono::seconds{2}) {
      At(thaw, [=, this] { Deliver(exchange, when, answers); });
    } else if (answers) {
      At(now_ + std::chrono::seconds{1},
         [=, this] { Fail(exchange.vm, when, error_kind::kTimeout); });
    }
    return;
  }
  const auto report = state.worker->Exchange(exchange.command, now_);
  if (!answers) return;
  At(now_ + Span(0, 40), [=, this] {
    if (when.epoch != epoch_) return;
    Call([&](pool_output& out) { pool_->OnReport(exchange.vm, report, when.sent_at, now_, out); });
  });
}

void random_cell::OnStart(const attempt_key& key) {
  ++starts_;
  found_.run_twice += ran_.insert(key).second ? 0 : 1;
  found_.ran_after_not_run += not_run_.contains(key) ? 1 : 0;
  int running = 0;
  for (auto& [vm, state] : vms_) {
    state.worker->Advance(now_);
    running += state.worker->RunningOf(key.task);
  }
  found_.run_twice += running > 1 ? 1 : 0;
}

void random_cell::CheckWorkers() {
  for (auto& [name, state] : vms_) {
    state.worker->Advance(now_);
    found_.overcommitted += state.worker->Running().FitsIn(state.worker->holds()) ? 0 : 1;
  }
}

}  // namespace rosearch::test
