#include "rosearch/cell/node.h"

#include <algorithm>
#include <array>
#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <catch2/catch.hpp>
#include <future>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "rosearch/cell/fake_ports.h"

namespace rosearch::cell {
namespace {

using std::chrono::seconds;

/// The stream of leadership claims, shared by all processes of a cell.
class claims_log {
 public:
  append_answer Append(const std::string& record, std::uint64_t at) {
    const std::scoped_lock lock{mutex_};
    ++append_count_;
    if (at != records_.size()) {
      return {append_outcome::kOffsetMismatch, 0, 0};
    }
    records_.push_back(record);
    return {append_outcome::kStored, at, 0};
  }
  std::vector<std::string> From(std::uint64_t first) const {
    const std::scoped_lock lock{mutex_};
    return {records_.begin() + static_cast<std::ptrdiff_t>(first), records_.end()};
  }

  /// Stops answering reads.
  void Silence() { silent_ = true; }
  [[nodiscard]] bool Silent() const { return silent_; }
  [[nodiscard]] int AppendCount() const {
    const std::scoped_lock lock{mutex_};
    return append_count_;
  }

 private:
  mutable std::mutex mutex_;
  std::vector<std::string> records_;
  int append_count_{0};
  std::atomic<bool> silent_{false};
};

/// The ports of one process: its own state and workers, and the claims shared by all processes.
class claiming_ports : public fake_ports {
 public:
  claiming_ports(boost::asio::io_context& io, claims_log& claims)
      : fake_ports{io}, io_{io}, claims_{claims} {}

  void Append(stream which, const std::vector<std::string>& records,
              const std::optional<writer_proof>& proof, const std::optional<std::uint64_t>& at,
              const append_callback& done) {
    if (which != stream::kClaims) {
      fake_ports::Append(which, records, proof, at, done);
      return;
    }
    boost::asio::post(io_, [done, answer = claims_.Append(records.front(), *at)] { done(answer); });
  }
  void Read(stream which, std::uint64_t from, duration wait, const log_callback& done) {
    if (which != stream::kClaims) {
      fake_ports::Read(which, from, wait, done);
      return;
    }
    if (claims_.Silent()) {
      return;
    }
    auto timer = std::make_shared<boost::asio::steady_timer>(io_, milliseconds{20});
    timer->async_wait([this, timer, from, done](const boost::system::error_code&) {
      log_page page;
      page.records = claims_.From(from);
      page.next = from + page.records.size();
      done(page);
    });
  }
  void ReadNewest(stream which, const std::string& after, const newest_callback& done) {
    if (which != stream::kClaims) {
      fake_ports::ReadNewest(which, after, done);
      return;
    }
    newest_page page;
    const auto records = claims_.From(0);
    page.end = records.size();
    if (!records.empty()) {
      page.records.push_back(*SplitKeyed(records.back()));
    }
    boost::asio::post(io_, [done, page] { done(page); });
  }

 private:
  boost::asio::io_context& io_;
  claims_log& claims_;
};

static_assert(cell_ports<claiming_ports>);

/// One process of a cell, which runs on its own thread.
class process {
 public:
  process(claims_log& claims, const std::string& address, const std::vector<std::string>& seeds,
          std::uint64_t incarnation, std::uint32_t processor_milli = 1'000, int workers = 1)
      : ports_{io_, claims},
        peers_{io_, address, incarnation,
               [this](const wire::peer_frame& frame) { node_->Receive(frame); },
               [this](const std::string& peer) { node_->OnConnectionBroken(peer); }},
        client_{io_, http_, peers_} {
    ports_.workers = workers;
    cell_settings settings;
    settings.name = address;
    settings.seeds = seeds;
    settings.processor_milli = processor_milli;
    node_ = std::make_unique<node<claiming_ports>>(io_, settings, ports_, peers_, client_,
                                                   incarnation, 0.0, log_, metrics_);
    node_->Begin();
    Resume();
  }
  ~process() { Suspend(); }
  process(const process&) = delete;
  process& operator=(const process&) = delete;

  /// Stops the main thread and the replies to pings. Connections stay open, as if the machine had
  /// lost power.
  void Suspend() {
    peers_.SetPingReply(nullptr, {});
    io_.stop();
    if (thread_.joinable()) {
      thread_.join();
    }
  }
  void Resume() {
    io_.restart();
    thread_ = std::thread{[this] { io_.run(); }};
  }

  /// Blocks the main thread for a time; the other threads keep running.
  void BlockMainThread(duration span) {
    boost::asio::post(io_, [span] { std::this_thread::sleep_for(span); });
  }

  /// @return whether the process leads and is ready, read on its main thread.
  [[nodiscard]] bool Leads() {
    return OnThread([this] {
      return node_->IsReady() && node_->Dump().find("leading=1") != std::string::npos;
    });
  }
  /// @return whether the process reaches its workers through relays.
  [[nodiscard]] bool HasRelays() {
    return OnThread([this] { return client_.HasRelays(); });
  }
  /// Begins a planned stop; the process goes on until its callers are served.
  void BeginStop() {
    boost::asio::post(io_, [this] { node_->Stop(); });
  }
  /// @return whether the process would answer callers.
  [[nodiscard]] bool IsReady() {
    return OnThread([this] { return node_->IsReady(); });
  }
  /// @return whether the process logged the event.
  [[nodiscard]] bool Logged(const std::string& event) {
    return OnThread([this, event] {
      return std::ranges::any_of(log_.lines, [&](const auto& line) {
        return line.find("event=" + event) != std::string::npos;
      });
    });
  }
  /// Submits a job to this process, as a caller would.
  /// @return the HTTP status of the answer.
  [[nodiscard]] std::future<unsigned> Submit(const std::string& id) {
    auto answered = std::make_shared<std::promise<unsigned>>();
    auto status = answered->get_future();
    boost::asio::post(io_, [this, id, answered] {
      http_call call;
      call.method = "POST";
      call.path = "/jobs/" + id;
      call.headers["host"] = "host";
      call.body = "job";
      node_->HandleCall(call, [answered](const http_response& response) {
        answered->set_value(response.status);
      });
    });
    return status;
  }

 private:
  template <typename Predicate>
  bool OnThread(Predicate predicate) {
    std::promise<bool> outcome;
    auto answer = outcome.get_future();
    boost::asio::post(io_, [&] { outcome.set_value(predicate()); });
    return answer.get();
  }

  boost::asio::io_context io_;
  claiming_ports ports_;
  http_client http_{io_};
  log_recorder log_;
  metric_set metrics_;
  std::unique_ptr<node<claiming_ports>> node_;
  peer_link peers_;
  relayed_client client_;
  std::thread thread_;
};

/// Three processes of one cell, the first of which leads.
class cell_of_three {
 public:
  explicit cell_of_three(int workers = 1) {
    constexpr std::uint32_t kLarge = 1'000;
    for (std::size_t at = 0; at < processes.size(); ++at) {
      processes[at] = std::make_unique<process>(
          claims, kAddresses[at], std::vector{std::string{kAddresses[0]}}, at + 1, kLarge, workers);
      if (at == 0) {
        WaitUntil([this] { return processes[0]->Leads(); });
      }
    }
    WaitUntil([this] { return processes[1]->IsReady() && processes[2]->IsReady(); });
    std::this_thread::sleep_for(milliseconds{500});
  }

  /// Waits until the condition holds or `max_wait` is over.
  /// @return the time waited.
  template <typename Predicate>
  static duration WaitUntil(Predicate condition, duration max_wait = seconds{5}) {
    const auto began = SteadyNow();
    while (!condition() && SteadyNow() - began < max_wait) {
      std::this_thread::sleep_for(milliseconds{5});
    }
    return SteadyNow() - began;
  }
  [[nodiscard]] duration WaitUntilOtherLeads(duration max_wait = seconds{5}) {
    return WaitUntil([this] { return processes[1]->Leads() || processes[2]->Leads(); }, max_wait);
  }

  static constexpr std::array kAddresses{"127.0.0.1:47311", "127.0.0.1:47312", "127.0.0.1:47313"};
  claims_log claims;
  std::array<std::unique_ptr<process>, kAddresses.size()> processes;
};

}  // namespace

// The leader's machine loses power: no message is sent and no connection breaks. Callers get no
// answer until another process leads. The `election` tests check the exact times.
TEST_CASE("a silent leader is replaced") {
  cell_of_three cell;
  cell.processes[0]->Suspend();
  const auto elapsed = cell.WaitUntilOtherLeads();
  CHECK(elapsed > milliseconds{300});
  CHECK(elapsed < seconds{3});
}

// An overloaded leader doesn't answer for a while and was replaced. Each successor had to read all
// workers again, was overloaded and replaced in turn, so that no process served callers.
TEST_CASE("a leader that is busy is not replaced") {
  cell_of_three cell;
  cell.processes[0]->BlockMainThread(milliseconds{1'800});
  std::this_thread::sleep_for(milliseconds{1'700});
  CHECK_FALSE(cell.processes[1]->Leads());
  CHECK_FALSE(cell.processes[2]->Leads());
  CHECK(cell.claims.AppendCount() == 1);
  CHECK(cell.processes[0]->Leads());
}

// A new leader reads all workers. Its peers don't have its member list yet; their pings waited
// until the main thread was free, and the leader was replaced by another that had to read them all
// again.
TEST_CASE("a new leader that is busy is not replaced") {
  cell_of_three cell;
  cell.processes[0].reset();
  REQUIRE(cell.WaitUntilOtherLeads() < seconds{3});
  auto& new_leader = cell.processes[1]->Leads() ? cell.processes[1] : cell.processes[2];
  new_leader->BlockMainThread(milliseconds{1'800});
  std::this_thread::sleep_for(milliseconds{1'700});
  CHECK(cell.claims.From(0).size() == 2);
  CHECK(new_leader->Leads());
}

// The leader's main thread hangs while the thread that answers peers still runs. The cell would
// keep a leader that does nothing.
TEST_CASE("a leader that stands still is replaced") {
  cell_of_three cell;
  constexpr seconds kBlockedTime{10};
  cell.processes[0]->BlockMainThread(kBlockedTime);
  const auto elapsed = cell.WaitUntilOtherLeads(kBlockedTime);
  CHECK(elapsed > seconds{2});
  CHECK(elapsed < kBlockedTime - seconds{2});
}

// The leader's process is killed and its connections break at once. When only missing answers were
// detected, callers waited for half a second more.
TEST_CASE("a killed leader is detected by its broken connections") {
  cell_of_three cell;
  cell.processes[0].reset();
  CHECK(cell.WaitUntilOtherLeads() < seconds{3});
  CHECK((cell.processes[1]->Logged("leader_connection_broken") ||
         cell.processes[2]->Logged("leader_connection_broken")));
  CHECK((cell.processes[1]->Logged("leader_gone") || cell.processes[2]->Logged("leader_gone")));
}

// All processes restart, the former leader last. The others must not wait for the suspect timeout:
// the former leader's machine refuses connections, since no process listens there.
TEST_CASE("a process that starts after the leader ended leads at once") {
  claims_log claims;
  {
    process former{claims, "127.0.0.1:47311", {}, 1};
    cell_of_three::WaitUntil([&] { return former.Leads(); });
  }
  process next{claims, "127.0.0.1:47312", {"127.0.0.1:47311"}, 2};
  CHECK(cell_of_three::WaitUntil([&] { return next.Leads(); }) < seconds{3});
  CHECK(next.Logged("leader_gone"));
}

// The leader loses power while a request to it is in flight. The request must neither fail nor keep
// waiting for that answer once another process leads.
TEST_CASE("a request in flight to a lost leader goes to the next one") {
  cell_of_three cell;
  cell.processes[0]->Suspend();
  auto status = cell.processes[1]->Submit("a");
  REQUIRE(status.wait_for(seconds{3}) == std::future_status::ready);
  CHECK(status.get() == 200);
}

// The store is unavailable when the leader is lost. A small process must not have a claim in flight
// then: when the store is back, that claim would be as likely to win as a large process's, and the
// cell's load would exceed what the small process can handle.
TEST_CASE("a small process claims only while the store answers") {
  claims_log claims;
  auto leader = std::make_unique<process>(claims, "127.0.0.1:47311", std::vector<std::string>{}, 1);
  cell_of_three::WaitUntil([&] { return leader->Leads(); });
  constexpr std::uint32_t kSmall = 100;
  process small{claims, "127.0.0.1:47312", {"127.0.0.1:47311"}, 2, kSmall};
  cell_of_three::WaitUntil([&] { return small.IsReady(); });
  const int before = claims.AppendCount();
  SECTION("not while it is silent") {
    claims.Silence();
    std::this_thread::sleep_for(milliseconds{2'200});
    leader.reset();
    std::this_thread::sleep_for(milliseconds{1'500});
    CHECK(claims.AppendCount() == before);
  }
  SECTION("else it does") {
    leader.reset();
    CHECK(cell_of_three::WaitUntil([&] { return small.Leads(); }) < seconds{4});
  }
}

// All processes were killed, and a small one restarts first. It is overloaded by hundreds of
// workers and callers wait, so a larger process has to lead as soon as one is available.
TEST_CASE("a small process hands many workers over to a larger one") {
  claims_log claims;
  constexpr std::uint32_t kSmall = 100;
  constexpr int kManyWorkers = 200;
  const int workers = GENERATE_COPY(1, kManyWorkers);
  process small{claims, "127.0.0.1:47311", {}, 1, kSmall, workers};
  REQUIRE(cell_of_three::WaitUntil([&] { return small.Leads(); }) < seconds{5});
  process large{claims, "127.0.0.1:47312", {"127.0.0.1:47311"}, 2, 1'000, workers};
  constexpr seconds kMaxWait{3};
  const bool handed_over =
      cell_of_three::WaitUntil([&] { return large.Leads(); }, kMaxWait) < kMaxWait;
  CHECK(handed_over == (workers == kManyWorkers));
  const bool stays = workers != kManyWorkers;
  cell_of_three::WaitUntil([&] { return small.Leads() == stays; });
  CHECK(small.Leads() == stays);
  CHECK(small.Logged("leadership_offered") == (workers == kManyWorkers));
}

// Most processes, the leader among them, lose power at once. They are still on the new leader's
// member list; as relays they would lose its requests to workers.
TEST_CASE("a new leader uses only processes that answered it as relays") {
  constexpr int kManyWorkers = 200;
  cell_of_three cell{kManyWorkers};
  REQUIRE(cell_of_three::WaitUntil([&] { return cell.processes[0]->HasRelays(); }) < seconds{5});
  cell.processes[0]->Suspend();
  cell.processes[2]->Suspend();
  REQUIRE(cell_of_three::WaitUntil([&] { return cell.processes[1]->Leads(); }) < seconds{5});
  std::this_thread::sleep_for(milliseconds{300});
  CHECK_FALSE(cell.processes[1]->HasRelays());
  cell.processes[2]->Resume();
  CHECK(cell_of_three::WaitUntil([&] { return cell.processes[1]->HasRelays(); }) < seconds{5});
}

// Guards against orders to workers that are lost with the process that relays them, although its
// stop was planned.
TEST_CASE("a process that stops is not used as a relay") {
  constexpr int kManyWorkers = 200;
  cell_of_three cell{kManyWorkers};
  REQUIRE(cell_of_three::WaitUntil([&] { return cell.processes[0]->HasRelays(); }) < seconds{5});
  cell.processes[1]->BeginStop();
  cell.processes[2]->BeginStop();
  // Sooner than a silent process would leave the cell.
  constexpr milliseconds kMaxWait{1'000};
  CHECK(cell_of_three::WaitUntil([&] { return !cell.processes[0]->HasRelays(); }, kMaxWait) <
        kMaxWait);
  CHECK(cell.processes[0]->Leads());
}

// A process that doesn't lead is paused for a while. It must then follow the current leader.
TEST_CASE("a process that was paused doesn't take over") {
  cell_of_three cell;
  cell.processes[1]->Suspend();
  std::this_thread::sleep_for(milliseconds{1'500});
  cell.processes[1]->Resume();
  std::this_thread::sleep_for(milliseconds{700});
  CHECK(cell.processes[0]->Leads());
  CHECK(cell.processes[1]->IsReady());
}

namespace {

/// A leader of the claim log alone: its host accepts connections, but no message is ever answered.
class unheard_leader {
 public:
  explicit unheard_leader(claims_log& claims) : claims_{claims} {
    wire::leader_claim claim;
    *claim.mutable_member() = Member();
    claim.set_incarnation(kIncarnation);
    Append(claim);
  }
  void Renew() {
    wire::leader_claim record;
    record.set_incarnation(kIncarnation);
    record.mutable_renewal()->set_epoch(1);
    *record.mutable_renewal()->mutable_leader() = Member();
    Append(record);
  }

 private:
  static constexpr std::uint64_t kIncarnation = 99;

  [[nodiscard]] wire::cell_member Member() const {
    wire::cell_member member;
    member.set_address("127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port()));
    return member;
  }
  void Append(const wire::leader_claim& record) {
    claims_.Append(JoinKeyed({"leader", record.SerializeAsString()}), claims_.From(0).size());
  }

  claims_log& claims_;
  boost::asio::io_context io_;
  boost::asio::ip::tcp::acceptor acceptor_{io_, {boost::asio::ip::make_address("127.0.0.1"), 0}};
};

/// A leader that receives pings and answers none.
class mute_leader {
 public:
  explicit mute_leader(claims_log& claims) {
    wire::leader_claim claim;
    claim.mutable_member()->set_address(link_.address());
    claim.set_incarnation(99);
    claims.Append(JoinKeyed({"leader", claim.SerializeAsString()}), 0);
  }
  /// Handles the messages that arrive within this time.
  void ReceiveFor(milliseconds span) {
    std::this_thread::sleep_for(span);
    io_.poll();
  }
  [[nodiscard]] std::size_t DifferentPings() const { return exchanges_.size(); }

 private:
  boost::asio::io_context io_;
  std::set<std::uint64_t> exchanges_;
  peer_link link_{io_, "127.0.0.1:0", 99,
                  [this](const wire::peer_frame& frame) { exchanges_.insert(frame.exchange()); }};
};

/// Peers of a leader in name only: each pings it until it has answered.
class pinging_peers {
 public:
  pinging_peers(const std::string& leader, std::uint64_t epoch, int count) : unanswered_{count} {
    constexpr seconds kMaxWait{5};
    const auto deadline = SteadyNow() + kMaxWait;
    for (int number = 0; number < count; ++number) {
      wire::peer_frame frame;
      frame.set_epoch(epoch);
      frame.mutable_ping()->mutable_member()->set_address("peer-" + std::to_string(number));
      link_.SendRequest(leader, std::move(frame), deadline, [this](const wire::peer_frame* answer) {
        unanswered_ -= answer != nullptr ? 1 : 0;
      });
    }
    io_.run_for(kMaxWait);  // returns once all are answered
  }

  [[nodiscard]] bool AllAnswered() const { return unanswered_ == 0; }

 private:
  int unanswered_;
  boost::asio::io_context io_;
  peer_link link_{io_, "127.0.0.1:47313", 77, [](const wire::peer_frame&) {}};
};

}  // namespace

// Guards against a storm of takeovers after a restart of a large cell: each new leader lived, but
// could not answer its peers in time.
TEST_CASE("a leader that is known by its renewals alone is kept while it renews") {
  claims_log claims;
  unheard_leader leader{claims};
  process follower{claims, "127.0.0.1:47312", {}, 2};
  for (int number = 0; number < 8; ++number) {
    std::this_thread::sleep_for(milliseconds{250});
    leader.Renew();
  }
  CHECK_FALSE(follower.Logged("leadership_claimed"));
  // The leader died after its last renewal: it is replaced as fast as one that fell silent.
  CHECK(cell_of_three::WaitUntil([&] { return follower.Leads(); }) < seconds{3});
}

// Guards against a new leader that hundreds of peers keep busy with copies of pings.
TEST_CASE("a leader that has not answered yet gets one ping at a time") {
  claims_log claims;
  mute_leader leader{claims};
  const process follower{claims, "127.0.0.1:47312", {}, 2};
  leader.ReceiveFor(milliseconds{550});
  CHECK(leader.DifferentPings() == 1);
}

// Guards against a claimed leadership whose process died right after the claim.
TEST_CASE("a leader that died right after its claim is replaced") {
  claims_log claims;
  const unheard_leader leader{claims};
  process follower{claims, "127.0.0.1:47312", {}, 2};
  CHECK(cell_of_three::WaitUntil([&] { return follower.Leads(); }) < seconds{3});
}

TEST_CASE("a leader that many peers join renews its claim") {
  claims_log claims;
  process leader{claims, "127.0.0.1:47311", {}, 1};
  REQUIRE(cell_of_three::WaitUntil([&] { return leader.Leads(); }) < seconds{3});
  const int peers = GENERATE(5, 40);
  const pinging_peers joining{"127.0.0.1:47311", 1, peers};
  REQUIRE(joining.AllAnswered());
  constexpr milliseconds kMaxWait{500};
  cell_of_three::WaitUntil([&] { return leader.Logged("claim_renewed"); }, kMaxWait);
  CHECK(leader.Logged("claim_renewed") == (peers == 40));
  CHECK((claims.From(0).size() > 1) == (peers == 40));
}

}  // namespace rosearch::cell
