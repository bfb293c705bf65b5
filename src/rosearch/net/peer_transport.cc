#include "rosearch/net/peer_transport.h"

#include <glog/logging.h>

#include <atomic>
#include <cerrno>
#include <map>
#include <mutex>
#include <optional>
#include <thread>
#include <utility>
#include <vector>
#include <zmq.hpp>

namespace rosearch {
namespace {

constexpr int kThreads = 1;
constexpr int kQueuedMessages = 10'000;
constexpr int kLargestMessage = 32 << 20;

constexpr const char* kWakeAddress = "inproc://wake";
constexpr const char* kEventsAddress = "inproc://events";

int Count(std::chrono::milliseconds span) { return static_cast<int>(span.count()); }

void SetOptions(zmq::socket_t& socket, const peer_transport_options& options) {
  socket.set(zmq::sockopt::linger, 0);
  socket.set(zmq::sockopt::sndhwm, kQueuedMessages);
  socket.set(zmq::sockopt::rcvhwm, kQueuedMessages);
  socket.set(zmq::sockopt::maxmsgsize, std::int64_t{kLargestMessage});
  socket.set(zmq::sockopt::immediate, true);
  socket.set(zmq::sockopt::tcp_maxrt, Count(options.longest_transit));
  socket.set(zmq::sockopt::connect_timeout, Count(options.connect_timeout));
  socket.set(zmq::sockopt::reconnect_ivl, 50);
  socket.set(zmq::sockopt::reconnect_ivl_max, Count(options.longest_reconnect));
}

}  // namespace

class peer_transport::impl {
 public:
  impl(const std::string& address, receive on_message, const peer_transport_options& options,
       broken on_broken)
      : options_{options},
        context_{kThreads, options_.most_sockets},
        on_message_{std::move(on_message)},
        on_broken_{std::move(on_broken)},
        receiver_{context_, zmq::socket_type::router},
        wake_in_{context_, zmq::socket_type::pair},
        wake_out_{context_, zmq::socket_type::pair} {
    SetOptions(receiver_, options_);
    receiver_.bind("tcp://" + address);
    address_ = receiver_.get(zmq::sockopt::last_endpoint).substr(std::string{"tcp://"}.size());
    wake_in_.bind(kWakeAddress);
    wake_out_.connect(kWakeAddress);
    thread_ = std::thread{[this] { Run(); }};
  }

  ~impl() {
    stopping_ = true;
    Wake();
    thread_.join();
  }

  impl(const impl&) = delete;
  impl& operator=(const impl&) = delete;

  [[nodiscard]] const std::string& address() const noexcept { return address_; }

  void Send(const std::string& to, std::string bytes) {
    const std::scoped_lock lock{mutex_};
    outgoing_.emplace_back(to, std::move(bytes));
    // The own thread sends after it has received, without being woken.
    if (outgoing_.size() == 1 && std::this_thread::get_id() != loop_thread_) {
      WakeLocked();
    }
  }

  void WatchConnection(const std::string& to) {
    const std::scoped_lock lock{mutex_};
    to_watch_ = to;
    WakeLocked();
  }

  [[nodiscard]] transport_counters Counters() const {
    const std::scoped_lock lock{counters_mutex_};
    return counters_;
  }

 private:
  void Wake() {
    const std::scoped_lock lock{mutex_};
    WakeLocked();
  }

  void WakeLocked() { (void)wake_out_.send(zmq::message_t{}, zmq::send_flags::dontwait); }

  void Run() {
    {
      const std::scoped_lock lock{mutex_};
      loop_thread_ = std::this_thread::get_id();
    }
    while (!stopping_) {
      std::vector<zmq::pollitem_t> items{{receiver_.handle(), 0, ZMQ_POLLIN, 0},
                                         {wake_in_.handle(), 0, ZMQ_POLLIN, 0}};
      if (events_) {
        items.push_back({events_.handle(), 0, ZMQ_POLLIN, 0});
      }
      WaitForMessages(items);
      ReceiveAll();
      Watch();
      ReceiveEvents();
      SendAll();
      CloseIdle();
    }
  }

  /// Waits until a socket has a message, or a signal interrupts the thread: the kernel also does so
  /// when a stopped process goes on.
  static void WaitForMessages(std::vector<zmq::pollitem_t>& items) {
    try {
      zmq::poll(items, std::chrono::milliseconds{-1});
    } catch (const zmq::error_t& failed) {
      if (failed.num() != EINTR) {
        throw;
      }
    }
  }

  /// Follows `WatchConnection`, on the thread that owns the sockets.
  void Watch() {
    std::string wanted;
    {
      const std::scoped_lock lock{mutex_};
      wanted.swap(to_watch_);
    }
    if (wanted.empty() || wanted == watched_) {
      return;
    }
    if (const auto former = senders_.find(watched_); former != senders_.end()) {
      (void)zmq_socket_monitor(former->second.socket.handle(), nullptr, 0);
    }
    events_.close();
    watched_ = wanted;
    auto* const socket = SocketTo(wanted);
    if (socket == nullptr) {
      watched_.clear();  // tried anew when it is asked for again
      return;
    }
    const auto where = kEventsAddress + std::to_string(++watches_);
    if (zmq_socket_monitor(socket->handle(), where.c_str(), ZMQ_EVENT_DISCONNECTED) != 0) {
      LOG(ERROR) << "event=connection_unwatched to=" << wanted << " detail=" << zmq_strerror(errno);
      return;
    }
    auto events = Open(zmq::socket_type::pair, where);
    if (!events) {
      watched_.clear();
      return;
    }
    events_ = std::move(*events);
  }

  void ReceiveEvents() {
    zmq::message_t part;
    bool seen = false;
    while (events_ && events_.recv(part, zmq::recv_flags::dontwait)) {
      seen = true;  // only breaks are asked for
    }
    if (seen && on_broken_) {
      on_broken_(watched_);
    }
  }

  void ReceiveAll() {
    zmq::message_t wake;
    while (wake_in_.recv(wake, zmq::recv_flags::dontwait)) {
    }
    zmq::message_t part;
    while (receiver_.recv(part, zmq::recv_flags::dontwait)) {
      if (part.more()) {
        continue;  // the identity that a ROUTER puts before each message
      }
      {
        const std::scoped_lock lock{counters_mutex_};
        ++counters_.messages_received;
        counters_.bytes_received += part.size();
      }
      on_message_(part.to_string());
    }
  }

  void SendAll() {
    std::vector<std::pair<std::string, std::string>> batch;
    {
      const std::scoped_lock lock{mutex_};
      batch.swap(outgoing_);
    }
    for (auto& [to, bytes] : batch) {
      auto* const socket = SocketTo(to);
      const bool sent = socket != nullptr &&
                        socket->send(zmq::buffer(bytes), zmq::send_flags::dontwait).has_value();
      const std::scoped_lock lock{counters_mutex_};
      counters_.messages_sent += sent ? 1 : 0;
      counters_.bytes_sent += sent ? bytes.size() : 0;
      counters_.dropped += sent ? 0 : 1;
    }
  }

  /// @return the socket to a peer; null where none can be made, as where file descriptors have run
  ///         out. Messages to it are dropped like those to a peer that is not connected.
  zmq::socket_t* SocketTo(const std::string& to) {
    const auto now = std::chrono::steady_clock::now();
    const auto found = senders_.find(to);
    if (found != senders_.end()) {
      found->second.used_at = now;
      return &found->second.socket;
    }
    auto socket = Open(zmq::socket_type::dealer, "tcp://" + to);
    if (!socket) {
      return nullptr;
    }
    return &senders_.emplace(to, sender{std::move(*socket), now}).first->second.socket;
  }

  /// Closes connections that nothing was sent on for a while.
  void CloseIdle() {
    const auto now = std::chrono::steady_clock::now();
    if (now >= close_idle_at_) {
      close_idle_at_ = now + options_.idle_limit / 2;
      std::erase_if(senders_, [&](const auto& each) {
        return each.first != watched_ && now - each.second.used_at >= options_.idle_limit;
      });
    }
    const std::scoped_lock lock{counters_mutex_};
    counters_.peers = senders_.size();
  }

  /// @return a connected socket; nothing where none can be made.
  std::optional<zmq::socket_t> Open(zmq::socket_type type, const std::string& to) {
    try {
      zmq::socket_t socket{context_, type};
      SetOptions(socket, options_);
      socket.connect(to);
      return socket;
    } catch (const zmq::error_t& failed) {
      constexpr int kOneLineFor = 1'000;
      LOG_EVERY_N(ERROR, kOneLineFor)
          << "event=peer_socket_failed to=" << to << " detail=" << failed.what();
      return std::nullopt;
    }
  }

  struct sender {
    zmq::socket_t socket;
    std::chrono::steady_clock::time_point used_at;
  };

  peer_transport_options options_;
  zmq::context_t context_;
  receive on_message_;
  broken on_broken_;
  zmq::socket_t receiver_;
  zmq::socket_t wake_in_;
  zmq::socket_t wake_out_;  ///< guarded by `mutex_`
  std::string address_;
  std::map<std::string, sender> senders_;
  std::chrono::steady_clock::time_point close_idle_at_{};
  zmq::socket_t events_;  ///< of the connection that is watched
  std::string watched_;
  std::uint64_t watches_{0};
  std::atomic<bool> stopping_{false};
  std::mutex mutex_;
  std::vector<std::pair<std::string, std::string>> outgoing_;
  std::string to_watch_;         ///< guarded by `mutex_`; empty: no change
  std::thread::id loop_thread_;  ///< guarded by `mutex_`; the one that sends and receives
  mutable std::mutex counters_mutex_;
  transport_counters counters_;
  std::thread thread_;
};

peer_transport::peer_transport(const std::string& address, receive on_message,
                               const peer_transport_options& options, broken on_broken)
    : impl_{std::make_unique<impl>(address, std::move(on_message), options, std::move(on_broken))} {
}

peer_transport::~peer_transport() = default;

const std::string& peer_transport::address() const noexcept { return impl_->address(); }
void peer_transport::Send(const std::string& to, std::string bytes) {
  impl_->Send(to, std::move(bytes));
}
void peer_transport::WatchConnection(const std::string& to) { impl_->WatchConnection(to); }
transport_counters peer_transport::Counters() const { return impl_->Counters(); }

}  // namespace rosearch
