#ifndef ROSEARCH_CELL_PEER_LINK_H_
#define ROSEARCH_CELL_PEER_LINK_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "rosearch/core/time.h"
#include "rosearch/net/peer_transport.h"
#include "rosearch/platform/clock.h"
#include "rosearch/wire/cell.pb.h"

namespace rosearch::cell {

/// Requests and answers between the processes of a cell. All calls and callbacks run on the thread
/// of the io_context. The transport's own thread reads messages, answers pings with the reply set
/// by `SetPingReply`, and hands messages received together to the io_context in one post.
class peer_link {
 public:
  /// Receives the answer, or null if none arrived before the deadline.
  using answer_callback = std::function<void(const wire::peer_frame*)>;
  /// Receives a message that is not an answer to a request of this process.
  using message_callback = std::function<void(const wire::peer_frame&)>;
  /// Receives the address of the watched peer after its connection was lost.
  using connection_lost_callback = std::function<void(const std::string&)>;

  /// @param address      host:port to bind.
  /// @param incarnation  random number drawn at each start of the process. Requests are numbered
  ///                     from it. A restarted process that counted from 1 again would receive
  ///                     answers that peers stored for its former incarnation, and could report a
  ///                     job as accepted that no leader has received.
  /// @param on_message   called for each message that is not an answer.
  /// @param on_connection_lost  called after the connection to the watched peer was lost.
  peer_link(boost::asio::io_context& io, const std::string& address, std::uint64_t incarnation,
            message_callback on_message, connection_lost_callback on_connection_lost = {});
  ~peer_link();
  peer_link(const peer_link&) = delete;
  peer_link& operator=(const peer_link&) = delete;

  /// Sends a message that expects no answer.
  void SendMessage(const std::string& to, wire::peer_frame frame);

  /// Sends a request and repeats it until it is answered, because the transport drops messages to a
  /// peer while the connection is being established. The pause before a repeat is
  /// `kFirstRetryDelay`. For calls and relayed exchanges it doubles each time: a peer that answers
  /// late because it is overloaded would otherwise receive the more copies the later it is.
  /// @param deadline  time after which `done` is called with null.
  void SendRequest(const std::string& to, wire::peer_frame frame, time_point deadline,
                   answer_callback done);

  /// Sends a request once over a connection that is known to be open. For requests with which the
  /// caller itself polls the peer: repeats would add to the load of a peer that answers late.
  /// @param deadline  time after which `done` is called with null.
  void SendPollingRequest(const std::string& to, wire::peer_frame frame, time_point deadline,
                          answer_callback done);

  /// Sends a request once, bundled with other messages to the same peer. For requests that are
  /// cheaper to lose than to repeat. The answer is bundled as well.
  /// @param deadline  time after which `done` is called with null.
  void SendRequestOnce(const std::string& to, wire::peer_frame frame, time_point deadline,
                       answer_callback done);

  /// Ends all pending requests to a failed peer by calling their callbacks with null, so that the
  /// senders can try another peer at once. Otherwise a request forwarded to a failed leader waits a
  /// second longer.
  void EndRequests(const std::string& to);

  /// Watches the connection to one peer; replaces the peer watched before.
  void WatchConnection(const std::string& to) { transport_->WatchConnection(to); }

  /// Answers a request. Stores the answer to a deduplicated request, to send it again if the
  /// request is repeated.
  void Answer(const wire::peer_frame& request, wire::peer_frame answer);

  /// Sets the reply with which the transport's own thread answers pings of the same epoch, so that
  /// an overloaded leader still answers its peers and is not suspected of failure.
  /// @param reply  a pong; null if this process no longer leads.
  /// @param until  expiry of the reply. A reply that was not renewed by then means that the thread
  ///               of the io_context makes no progress.
  void SetPingReply(std::unique_ptr<wire::peer_frame> reply, time_point until);
  /// Sets the member list that is added to the ping reply for peers with another version of it.
  /// @param members  a pong with the members and their version; null if they are not known.
  void SetPingMembers(const wire::peer_frame* members);
  /// @return whether the transport's thread answers this ping.
  [[nodiscard]] bool CanReplyTo(const wire::peer_frame& ping) const;

  /// @return the number of received requests kept for deduplication.
  [[nodiscard]] std::size_t CountStoredRequests() const { return received_requests_.size(); }

  /// @return the number of callers' requests that were dropped as too many bytes waited.
  [[nodiscard]] std::uint64_t CountDropped() const {
    const std::scoped_lock lock{received_mutex_};
    return dropped_;
  }

  /// @return the number of messages received, repeats included.
  [[nodiscard]] std::uint64_t CountReceived() const {
    return transport_->Counters().messages_received;
  }

  /// @return the bound host:port.
  [[nodiscard]] const std::string& address() const;

  /// @return the time since which requests are deduplicated.
  [[nodiscard]] time_point began_at() const { return began_at_; }

  /// Pause before an unanswered request is sent again. Three times a slow round trip across failure
  /// domains, so that requests with an answer in flight are rarely repeated.
  static constexpr duration kFirstRetryDelay = std::chrono::milliseconds{150};

  /// Bytes of received messages that wait for the event loop. Beyond it callers' requests are
  /// dropped like messages that are lost: peers together send more than a late event loop can keep.
  static constexpr std::size_t kMaxWaitingBytes = std::size_t{8} << 20U;

  /// Delay for which messages to the same peer are collected into one bundle.
  static constexpr duration kBundleDelay = std::chrono::milliseconds{4};

 private:
  struct pending_request {
    std::string to;
    wire::peer_frame frame;
    time_point deadline;
    answer_callback done;
    boost::asio::steady_timer timer;
    duration retry_delay{kFirstRetryDelay};
  };
  /// A received request kept for deduplication.
  struct received_request {
    std::string key;
    time_point expires_at;
  };
  void ScheduleRetry(std::uint64_t exchange);
  [[nodiscard]] std::uint64_t NextExchange();
  /// Sets the sender and a new number in a request.
  /// @return the number.
  [[nodiscard]] std::uint64_t NumberRequest(wire::peer_frame& request);
  /// Registers a sent request.
  /// @param repeated  the request, to be sent again until it is answered; empty: never.
  void AddPendingRequest(std::uint64_t exchange, const std::string& to, wire::peer_frame repeated,
                         time_point deadline, answer_callback done);
  /// Adds a message to the bundle for a peer, which is sent after `kBundleDelay`.
  void AddToBundle(const std::string& to, wire::peer_frame frame);
  void SendBundles();
  [[nodiscard]] bool CanReplyToLocked(const wire::peer_frame& ping) const;
  /// Answers a ping on the transport's own thread if a valid reply is set.
  void ReplyToPing(const wire::peer_frame& ping);
  /// Handles a message on the transport's own thread.
  void OnTransportMessage(const std::string& bytes);
  /// Handles the messages that were received since its last call, in order.
  /// @param alive  expires with this object.
  void HandleReceived(const std::weak_ptr<bool>& alive);
  void HandleFrame(const wire::peer_frame& frame);
  /// Records a received request, or sends the stored answer again if it is a duplicate.
  /// @return whether the request is a duplicate.
  [[nodiscard]] bool CheckDuplicate(const wire::peer_frame& request);

  boost::asio::io_context& io_;
  time_point began_at_{SteadyNow()};
  message_callback on_message_;
  connection_lost_callback on_connection_lost_;
  std::uint64_t next_exchange_;
  std::unordered_map<std::uint64_t, std::unique_ptr<pending_request>> pending_requests_;
  // A repeated request is not executed again: its stored answer is sent again, if there is one.
  // Otherwise a lost answer would lead to an order being executed twice.
  // Keyed by sender and request number; an empty value means not answered yet.
  std::unordered_map<std::string, std::string> stored_answers_;
  std::deque<received_request> received_requests_;
  std::unordered_map<std::string, wire::peer_frame> bundles_;  ///< by peer
  boost::asio::steady_timer bundle_timer_;
  std::shared_ptr<bool> alive_{std::make_shared<bool>(true)};
  mutable std::mutex received_mutex_;
  /// Received and not handled yet, oldest first; guarded by `received_mutex_`. One wake-up of the
  /// event loop handles all of them.
  std::vector<std::unique_ptr<wire::peer_frame>> received_;
  std::size_t received_bytes_{0};  ///< of `received_`; guarded as it, and the next
  std::uint64_t dropped_{0};
  mutable std::mutex reply_mutex_;
  /// The member list as it is appended to a serialized ping reply.
  struct serialized_members {
    std::uint64_t version{0};
    std::string bytes;
  };
  std::unique_ptr<wire::peer_frame> ping_reply_;  ///< guarded by `reply_mutex_`, as the next two
  std::optional<serialized_members> ping_members_;
  time_point ping_reply_until_{};
  std::unique_ptr<peer_transport> transport_;
};

}  // namespace rosearch::cell

#endif  // ROSEARCH_CELL_PEER_LINK_H_
