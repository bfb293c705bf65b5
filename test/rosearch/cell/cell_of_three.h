#ifndef ROSEARCH_TEST_CELL_CELL_OF_THREE_H_
#define ROSEARCH_TEST_CELL_CELL_OF_THREE_H_

#include <fcntl.h>
#include <sys/file.h>
#include <sys/stat.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstddef>
#include <cstdint>
#include <filesystem>
#include <future>
#include <memory>
#include <mutex>
#include <optional>
#include <stdexcept>
#include <string>
#include <thread>
#include <vector>

#include "rosearch/cell/fake_ports.h"
#include "rosearch/cell/node.h"

// Processes of one cell that talk over loopback and share a claim log. Their ports are fixed; of
// several test programs one has them at a time.

namespace rosearch::cell {

using std::chrono::seconds;

/// Keeps the fixed ports for this test program until it ends. Another program on the machine, such
/// as that of a sanitizer, waits for them.
class port_claim {
 public:
  port_claim() {
    static const int file = [] {
      const auto path = std::filesystem::temp_directory_path() / "rosearch-test-cell-ports";
      const int opened = open(path.c_str(), O_CREAT | O_RDWR | O_CLOEXEC, S_IRUSR | S_IWUSR);
      return flock(opened, LOCK_EX) == 0 ? opened : -1;
    }();
    if (file < 0) {
      throw std::runtime_error{"the ports of the test can't be claimed"};
    }
  }
};

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
          std::uint64_t incarnation, std::uint32_t processor_milli = 1'000, int workers = 1,
          std::uint32_t link_mbps = 0, const leadership_proof_settings& proof = {})
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
    settings.link_mbps = link_mbps;
    settings.leading.proof = proof;
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
  /// Delivers a message of a peer.
  void Deliver(const wire::peer_frame& frame) {
    (void)OnThread([this, frame] {
      node_->Receive(frame);
      return true;
    });
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
  port_claim ports_claimed_;
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

}  // namespace rosearch::cell

#endif  // ROSEARCH_TEST_CELL_CELL_OF_THREE_H_
