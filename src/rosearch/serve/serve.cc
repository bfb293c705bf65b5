#include "rosearch/serve/serve.h"

#include <glog/logging.h>

#include <array>
#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <chrono>
#include <csignal>
#include <exception>
#include <filesystem>
#include <fstream>
#include <memory>
#include <optional>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

#include "rosearch/api/service.h"
#include "rosearch/metrics/metric_set.h"
#include "rosearch/net/client_memory.h"
#include "rosearch/net/http_server.h"
#include "rosearch/net/memory_limit.h"
#include "rosearch/net/peer_transport.h"
#include "rosearch/platform/clock.h"
#include "rosearch/platform/http_client.h"
#include "rosearch/serve/entry_ports.h"

namespace rosearch {
namespace {

namespace asio = boost::asio;
using std::chrono::milliseconds;

constexpr milliseconds kTick{20};
/// The totals of traffic in the metrics are so old at most.
constexpr milliseconds kTrafficInterval{200};
constexpr std::chrono::seconds kRefusalLogInterval{1};
constexpr std::int64_t kMillion = 1'000'000;

constexpr std::size_t kMaxDetailBytes = 256;

constexpr int kExitStopped = 0;
constexpr int kExitFailed = 1;
constexpr int kExitHistoryLost = 3;
constexpr int kExitGracePassed = 4;

std::string AdvertisedOr(const std::string& advertised, const std::string& host) {
  return advertised.empty() ? host : advertised;
}

rights_settings RightsOf(const config::settings& settings) {
  rights_settings rights;
  rights.right_length = settings.rights.right;
  rights.renew_interval = settings.rights.renew;
  rights.proof_length = settings.rights.proof;
  rights.pair_proof_length = settings.rights.proof * 2;
  if (settings.rights.drift_ppm > 0) {
    rights.drift_divisor = static_cast<int>(kMillion / settings.rights.drift_ppm);
  }
  rights.list_lag = settings.platform.vm_list_lag;
  rights.longest_lease =
      rights.Widened(rights.pair_proof_length + rights.right_length) + duration{1};
  rights.claim_interval = std::max<duration>(rights.claim_interval, rights.right_length);
  return rights;
}

node_settings NodeSettings(const config::settings& settings, incarnation_number incarnation,
                           const std::string& peer_address, std::uint16_t http_port) {
  node_settings node;
  node.self = {settings.entry.name, incarnation};
  node.region = settings.entry.region;
  node.failure_domain = settings.entry.failure_domain;
  node.peer_address = AdvertisedOr(settings.peer.advertised_host, settings.peer.host) +
                      peer_address.substr(peer_address.rfind(':'));
  node.http_address = AdvertisedOr(settings.http.advertised_host, settings.http.host) + ':' +
                      std::to_string(http_port);
  for (shard_number number = 0; number < settings.cell.ShardCount(); ++number) {
    node.region_of_shard.push_back(settings.cell.RegionOf(number));
  }
  node.shard.rights = RightsOf(settings);
  node.shard.pool.lease = settings.leases.lease;
  node.shard.pool.renew_interval = settings.leases.renew;
  node.shard.requests.remember =
      std::chrono::duration_cast<milliseconds>(settings.limits.request_memory);
  node.journal.linger = settings.journal.linger;
  node.journal.appends_per_s = settings.journal.appends_per_s;
  node.journal.burst = settings.journal.burst;
  node.journal.max_append_bytes = settings.journal.max_append_bytes;
  node.journal.max_waiting_bytes = settings.journal.max_waiting_bytes;
  node.journal.retry_least = settings.journal.retry_least;
  node.journal.retry_most = settings.journal.retry_most;
  node.heartbeat = settings.heartbeat.interval;
  node.silent_after = settings.heartbeat.interval * settings.heartbeat.missed;
  node.log_wait = settings.platform.log_poll;
  node.list_interval = settings.platform.vm_list_poll;
  node.snapshot_interval = settings.journal.retention / 8;
  node.seed = incarnation;
  return node;
}

/// One running entry: what must live as long as its threads.
class entry_process {
 public:
  entry_process(const config::settings& settings, incarnation_number incarnation)
      : settings_{settings},
        io_{static_cast<int>(settings.http.threads)},
        http_{io_, HttpOptions(settings)},
        ports_{settings_, http_},
        api_{access_, metrics_},
        signals_{io_, SIGTERM, SIGINT},
        timer_{asio::make_strand(io_)},
        client_memory_{MakeClientMemory(settings.http)} {
    // The transport's thread may hand in a message before the node stands; it is dropped.
    transport_ = std::make_unique<peer_transport>(
        settings.peer.host + ':' + std::to_string(settings.peer.port),
        [this](const std::string& bytes) { OnPeerBytes(bytes); });
    server_ = std::make_unique<http_server>(
        io_, ServerSettings(settings),
        [this](const http_call& call, http_respond respond) {
          api_.Handle(call, std::move(respond));
        },
        client_memory_);
    node_ = std::make_unique<entry_node>(
        NodeSettings(settings, incarnation, transport_->address(), server_->port()), ports_);
    ports_.Connect(*node_, *transport_);
    FillAccess();
    node_ready_ = true;
    LOG(INFO) << "event=started entry=" << settings.entry.name << " incarnation=" << incarnation
              << " http=" << settings.http.host << ':' << server_->port()
              << " peer=" << transport_->address();
  }

  /// Writes the ports under another name first, so that a reader never sees half of them.
  void WritePorts(const std::string& file) const {
    const auto draft = file + ".new";
    std::ofstream{draft} << server_->port() << '\n'
                         << transport_->address().substr(transport_->address().rfind(':') + 1)
                         << '\n';
    std::filesystem::rename(draft, file);
  }

  int Run() {
    signals_.async_wait([this](const boost::system::error_code& failed, int) {
      if (!failed) {
        OnSignal();
      }
    });
    Schedule();
    std::vector<std::thread> threads;
    for (std::uint32_t at = 1; at < settings_.http.threads; ++at) {
      threads.emplace_back([this] { RunHandlers(); });
    }
    RunHandlers();
    for (auto& thread : threads) {
      thread.join();
    }
    const int code = handler_failed_ ? kExitFailed : exit_code_;
    LOG(INFO) << "event=stopped code=" << code;
    return code;
  }

 private:
  /// A handler that failed hasn't caused all that it should have, so the process ends.
  void RunHandlers() {
    try {
      io_.run();
    } catch (const std::exception& failed) {
      LOG(ERROR) << "event=handler_failed detail="
                 << std::string_view{failed.what()}.substr(0, kMaxDetailBytes);
      handler_failed_ = true;
      io_.stop();
    }
  }

  static http_options HttpOptions(const config::settings& settings) {
    http_options options;
    options.connect_timeout = settings.platform.connect_timeout;
    return options;
  }

  static std::shared_ptr<client_memory> MakeClientMemory(const config::http_settings& http) {
    const auto memory_mb = http.memory_mb > 0 ? http.memory_mb : MachineMemoryMb();
    return std::make_shared<client_memory>(ClientMemoryMb(memory_mb, http.client_memory_mb) *
                                           kBytesPerMb);
  }

  static http_server_settings ServerSettings(const config::settings& settings) {
    http_server_settings server;
    server.host = settings.http.host;
    server.port = settings.http.port;
    server.max_body_bytes = settings.http.max_body_bytes;
    server.max_header_bytes = settings.http.max_header_bytes;
    server.max_connections = settings.http.max_connections;
    server.idle = std::chrono::duration_cast<milliseconds>(settings.http.idle);
    server.header_timeout = std::chrono::duration_cast<milliseconds>(settings.http.header_timeout);
    server.body_timeout = std::chrono::duration_cast<milliseconds>(settings.http.body_timeout);
    return server;
  }

  void FillAccess() {
    auto& node = *node_;
    access_.now = [] { return StepNow(); };
    access_.ready = [this, &node] { return node.Ready() && !leaving_; };
    access_.accepting = [&node] { return node.Ready(); };
    access_.call = [&node](wire::call call, time_point deadline, call_done done) {
      node.Call(std::move(call), deadline, StepNow(), std::move(done));
    };
    access_.publish = [&node](wire::configuration_record record, time_point deadline,
                              publish_done done) {
      node.Publish(std::move(record), deadline, StepNow(), std::move(done));
    };
    access_.drain = [&node](const vm_id& vm, bool leaving) {
      return node.Drain(vm, leaving, StepNow());
    };
    access_.configuration = [&node] { return node.Configuration(); };
    access_.configuration_record = [&node] { return node.ConfigurationRecord(); };
    access_.history = [&node] { return node.History(); };
    access_.lowest_version = [&node] { return node.LowestVersion(SteadyNow()); };
    access_.home_of = [&node](const std::string& customer, const std::string& name) {
      return node.HomeOf(customer, name);
    };
    access_.vms = [&node] { return node.Vms(); };
    access_.drains = [&node] { return node.Drains(); };
    access_.fits_somewhere = [&node](const resources& needs) { return node.FitsSomewhere(needs); };
    access_.closest_worker = [&node](const resources& needs) { return node.ClosestWorker(needs); };
    access_.dump = [&node] { return node.Dump(StepNow()); };
    access_.gauges = [this] { return Gauges(); };
    access_.explain = [&node](const placement_request& request) {
      return node.Explain(request, StepNow());
    };
  }

  std::map<std::string, double> Gauges() const {
    const auto figures = node_->Figures(SteadyNow());
    const auto peers = transport_->Counters();
    auto gauges = GaugesOf(ports_.counters());
    gauges["rosearch_ready"] = figures.ready && !leaving_ ? 1 : 0;
    gauges["rosearch_log_up"] = figures.log_up ? 1 : 0;
    gauges["rosearch_open_calls"] = static_cast<double>(figures.open_calls);
    gauges["rosearch_shards_served"] = static_cast<double>(figures.shards_served);
    gauges["rosearch_live_members"] = static_cast<double>(figures.live_members);
    gauges["rosearch_log_waiting_records"] = static_cast<double>(figures.log_waiting_records);
    gauges["rosearch_log_waiting_bytes"] = static_cast<double>(figures.log_waiting_bytes);
    gauges["rosearch_configuration_version"] = static_cast<double>(figures.version);
    gauges["rosearch_http_busy_connections"] = static_cast<double>(server_->Busy());
    gauges.merge(ClientGauges(client_memory_->Figures()));
    gauges["rosearch_peer_messages_sent_total"] = static_cast<double>(peers.messages_sent);
    gauges["rosearch_peer_bytes_sent_total"] = static_cast<double>(peers.bytes_sent);
    gauges["rosearch_peer_messages_received_total"] = static_cast<double>(peers.messages_received);
    gauges["rosearch_peer_bytes_received_total"] = static_cast<double>(peers.bytes_received);
    gauges["rosearch_peer_messages_dropped_total"] = static_cast<double>(peers.dropped);
    return gauges;
  }

  static std::map<std::string, double> ClientGauges(const client_memory_figures& figures) {
    std::map<std::string, double> gauges{
        {"rosearch_client_memory_limit_bytes", static_cast<double>(figures.limit_bytes)},
        {"rosearch_client_memory_bytes", static_cast<double>(figures.held_bytes)},
        {"rosearch_client_call_bytes", static_cast<double>(figures.call_bytes)},
        {"rosearch_client_connections", static_cast<double>(figures.connections)}};
    for (std::size_t at = 0; at < kClientRefusals; ++at) {
      const std::string reason{ToText(static_cast<client_refusal>(at))};
      gauges["rosearch_client_refusals_total{reason=\"" + reason + "\"}"] =
          static_cast<double>(figures.refused.at(at));
    }
    return gauges;
  }

  /// A crowd that is refused gets one line a second, not one for each client.
  void LogRefusals(time_point now) {
    const auto figures = client_memory_->Figures();
    if (now < refusals_logged_at_ + kRefusalLogInterval || figures.refused == refused_) {
      return;
    }
    std::string counts;
    for (std::size_t at = 0; at < kClientRefusals; ++at) {
      counts += ' ' + std::string{ToText(static_cast<client_refusal>(at))} + '=' +
                std::to_string(figures.refused.at(at) - refused_.at(at));
    }
    LOG(WARNING) << "event=clients_refused held_bytes=" << figures.held_bytes
                 << " limit_bytes=" << figures.limit_bytes << " connections=" << figures.connections
                 << counts;
    refused_ = figures.refused;
    refusals_logged_at_ = now;
  }

  void OnPeerBytes(const std::string& bytes) {
    wire::peer_message message;
    if (!message.ParseFromString(bytes)) {
      LOG(WARNING) << "event=unreadable_peer_message bytes=" << bytes.size();
      return;
    }
    if (node_ready_) {
      node_->OnPeer(message, StepNow());
    }
  }

  void Schedule() {
    timer_.expires_after(kTick);
    timer_.async_wait([this](const boost::system::error_code& failed) {
      if (failed) {
        return;
      }
      OnTick();
      Schedule();
    });
  }

  void OnTick() {
    const auto at = StepNow();
    node_->Tick(at);
    api_.Tick(at.now);
    LogRefusals(at.now);
    if (at.now >= traffic_at_) {
      traffic_at_ = at.now + kTrafficInterval;
      ports_.WriteTraffic(metrics_);
    }
    if (node_->HistoryLost()) {
      LOG(ERROR) << "event=history_lost";
      End(kExitHistoryLost);
      return;
    }
    if (!leaving_) {
      return;
    }
    if (!stopping_ && at.now >= stop_at_) {
      stopping_ = true;
      node_->BeginStop(at);
      server_->Drain();
    }
    if (stopping_ && node_->Stopped() && server_->Busy() == 0) {
      End(kExitStopped);
    } else if (at.now >= give_up_at_) {
      End(kExitGracePassed);
    }
  }

  /// The balancer learns from /readyz that this entry leaves; until it has, calls are still taken.
  void OnSignal() {
    const auto now = SteadyNow();
    stop_at_ = now + settings_.stop.unready;
    give_up_at_ = now + settings_.stop.grace;
    leaving_ = true;
    server_->LetGo();
    LOG(INFO) << "event=leaving";
  }

  void End(int code) {
    exit_code_ = code;
    io_.stop();
  }

  const config::settings& settings_;
  asio::io_context io_;
  metric_set metrics_;
  entry_access access_;
  http_client http_;
  entry_ports ports_;
  api_service api_;
  asio::signal_set signals_;
  asio::steady_timer timer_;
  std::unique_ptr<entry_node> node_;
  std::shared_ptr<client_memory> client_memory_;
  std::unique_ptr<http_server> server_;
  std::array<std::uint64_t, kClientRefusals> refused_{};  ///< as logged last
  time_point refusals_logged_at_{};
  std::unique_ptr<peer_transport> transport_;
  std::atomic<bool> node_ready_{false};
  std::atomic<bool> leaving_{false};
  std::atomic<bool> handler_failed_{false};
  bool stopping_{false};
  time_point traffic_at_{};
  time_point stop_at_{};
  time_point give_up_at_{kNever};
  int exit_code_{kExitStopped};
};

}  // namespace

int Serve(const config::settings& settings, incarnation_number incarnation,
          const std::string& port_file) {
  entry_process process{settings, incarnation};
  if (!port_file.empty()) {
    process.WritePorts(port_file);
  }
  return process.Run();
}

}  // namespace rosearch
