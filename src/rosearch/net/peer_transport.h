#ifndef ROSEARCH_NET_PEER_TRANSPORT_H_
#define ROSEARCH_NET_PEER_TRANSPORT_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace rosearch {

/// What a `peer_transport` did since its start.
struct transport_counters {
  std::uint64_t messages_sent{0};
  std::uint64_t bytes_sent{0};
  std::uint64_t messages_received{0};
  std::uint64_t bytes_received{0};
  std::uint64_t dropped{0};  ///< no connection, or its queue was full
  std::size_t peers{0};      ///< to which there is a connection now, or one is tried
};

/// Bounds of a `peer_transport`.
struct peer_transport_options {
  /// Written bytes that a peer hasn't taken for so long break the connection: what they say must
  /// not arrive after its sender has been given up.
  std::chrono::milliseconds longest_transit{5'000};
  /// A connection that isn't made within this is tried anew; 0: the kernel's own patience, which
  /// is seconds where the first packet is lost or the machine is just starting.
  std::chrono::milliseconds connect_timeout{0};
  /// Longest pause between two tries to connect.
  std::chrono::milliseconds longest_reconnect{1'000};
  /// A connection on which nothing was sent for so long is closed: a peer that is gone for good
  /// would be tried for ever, and each one that was ever there hold a descriptor.
  std::chrono::milliseconds idle_limit{30'000};
  /// Sockets at once, one for each peer and a few more; ZeroMQ's own bound is below a large cell.
  int most_sockets{4'096};

  friend bool operator==(const peer_transport_options&, const peer_transport_options&) = default;
};

/// Messages between entries over ZeroMQ. A message to a peer that is not connected is dropped, not
/// kept: whoever needs an answer asks again, and a message that was kept would arrive when what it
/// says is long past.
class peer_transport {
 public:
  /// Called for each message, on the transport's own thread.
  using receive = std::function<void(std::string)>;
  /// Called with the address that `WatchConnection` named when its connection broke, on the
  /// transport's own thread.
  using broken = std::function<void(const std::string&)>;

  /// Binds at once.
  /// @param address  host:port; port 0 binds a free one.
  /// @throws zmq::error_t where the address can't be bound.
  /// @param on_broken  may be empty.
  peer_transport(const std::string& address, receive on_message,
                 const peer_transport_options& options = {}, broken on_broken = {});
  ~peer_transport();
  peer_transport(const peer_transport&) = delete;
  peer_transport& operator=(const peer_transport&) = delete;

  /// @return host:port that is bound.
  [[nodiscard]] const std::string& address() const noexcept;

  /// Sends to the peer at an address; safe from any thread. Messages from one thread to one peer
  /// arrive in order or not at all.
  void Send(const std::string& to, std::string bytes);

  /// Watches the connection to one peer instead of that to the one before. A process that is killed
  /// breaks it at once; a machine without power doesn't. It is made anew by itself.
  void WatchConnection(const std::string& to);

  [[nodiscard]] transport_counters Counters() const;

 private:
  class impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace rosearch

#endif  // ROSEARCH_NET_PEER_TRANSPORT_H_
