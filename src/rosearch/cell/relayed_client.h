#ifndef ROSEARCH_CELL_RELAYED_CLIENT_H_
#define ROSEARCH_CELL_RELAYED_CLIENT_H_

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "rosearch/cell/peer_link.h"
#include "rosearch/core/result.h"
#include "rosearch/core/time.h"
#include "rosearch/log/event_line.h"
#include "rosearch/platform/http_client.h"

namespace rosearch::cell {

/// The routes that one exchange may take to its target.
struct route_options {
  /// Whether a peer may make the exchange if this process can't. Only for idempotent requests, or
  /// with an `answer_timeout` of zero.
  bool allow_peer{true};
  /// Whether an answer of 429 or 503 may concern this process alone, so that a peer tries as well.
  /// Any refusal of a request that isn't idempotent then ends the exchange only if no other copy of
  /// it may be executed.
  bool retry_refusal_by_peer{false};
  /// Time without an answer, beyond `wait`, after which the request is also sent by the next route
  /// (a hedged request). Zero: the next route is tried only if the request was certainly not sent
  /// by the routes before. Needed for orders whose refusal must mean that no copy is in flight.
  duration answer_timeout{std::chrono::milliseconds{700}};
  /// How long the target itself may delay its answer (long polling).
  duration wait{};
  /// Whether `answer_timeout` is only an upper bound and adapts to a multiple of the usual answer
  /// time of the target. A silent connection to a target that answers in 5 ms is then detected
  /// within 0.06 s, and a target that answers in 0.5 s does not receive each request twice.
  bool adaptive_timeout{false};
  /// Whether a relay makes the exchange if relays are set.
  bool allow_relay{false};
  /// Whether large peers are preferred where a peer makes the exchange, because its body may be
  /// large.
  bool prefer_large_peer{false};

  friend bool operator==(const route_options&, const route_options&) = default;
};

/// Sends HTTP requests directly or through a peer if the direct route fails. Without this, a leader
/// that is cut off from the store or from some workers, but not from its peers, would have to give
/// up leadership.
class relayed_client {
 public:
  /// @param log  may be null.
  relayed_client(boost::asio::io_context& io, http_client& direct, peer_link& peers,
                 event_sink* log = nullptr)
      : io_{io}, direct_{direct}, peers_{peers}, log_{log} {}

  /// Sets the peers that may forward requests.
  /// @param large  those with more processor time and a faster link than the others; empty where
  ///               all are alike.
  void SetPeers(std::vector<std::string> peers, std::vector<std::string> large = {}) {
    forwarding_peers_ = std::move(peers);
    large_peers_ = std::move(large);
  }

  /// Sets the relays: peers that make all exchanges that allow a relay; empty: none. In a large
  /// cell the exchanges with workers use most of the leader's processor time, while its peers are
  /// idle.
  void SetRelays(std::vector<std::string> relays) { relays_ = std::move(relays); }

  [[nodiscard]] bool HasRelays() const { return !relays_.empty(); }

  /// Sends a request. The callback runs once, on the thread of the io_context. An answer that came
  /// through a peer has no headers.
  void Send(http_request request, const route_options& options, http_callback done);

  /// Sends a request through the given peer.
  void SendThroughPeer(const std::string& peer, const http_request& request, http_callback done);

  /// Makes the exchange that a peer requested and sends it the answer.
  void ServeRelayCall(const wire::peer_frame& relay_request);

  /// @return the number of exchanges sent through peers since the start.
  [[nodiscard]] std::uint64_t CountRelayedExchanges() const { return relayed_; }

 private:
  enum class route : std::uint8_t { kRelay, kDirect, kPeer };
  struct exchange;

  [[nodiscard]] std::deque<route> SelectRoutes(const std::string& address,
                                               const route_options& options);
  void TryNext(const std::shared_ptr<exchange>& sent);
  void TryNextAfter(const std::shared_ptr<exchange>& sent, duration answer_timeout);
  void TryNextUnlessSlow(const std::shared_ptr<exchange>& sent);
  void TryDirect(const std::shared_ptr<exchange>& sent);
  void TryPeer(const std::shared_ptr<exchange>& sent, const std::string& peer);
  /// @param once  whether the message to the peer is sent once only, so that a peer that restarts
  ///              can't make the exchange a second time.
  void Forward(const std::string& peer, const http_request& request, bool once, http_callback done);
  void TryRelay(const std::shared_ptr<exchange>& sent, const std::string& relay);
  /// @return the relay for exchanges with an address, stable while the set of relays is, or the
  ///         next best if that one was tried; empty if none is available.
  [[nodiscard]] std::string SelectRelay(const exchange& sent) const;
  /// Temporarily excludes a relay that did not answer, and ends all requests pending there.
  void ExcludeRelay(const std::string& relay);
  /// Ends an exchange by an answer of its target, unless that is the refusal of one copy while
  /// another may still be executed.
  void OnAnswer(const std::shared_ptr<exchange>& sent, result<http_reply> answer);
  void OnFailure(const std::shared_ptr<exchange>& sent, result<http_reply> answer);
  [[nodiscard]] duration AnswerTimeout(const exchange& sent) const;
  void RecordAnswerTime(const exchange& sent, time_point sent_at);
  /// @return a peer that was not tried yet; empty if there is none.
  [[nodiscard]] std::string ChoosePeer(const exchange& sent);
  /// @return one of these peers that was not tried yet, the one that reached the target last if it
  ///         is among them; empty if there is none.
  [[nodiscard]] std::string ChooseAmong(const std::vector<std::string>& peers,
                                        const exchange& sent);

  boost::asio::io_context& io_;
  http_client& direct_;
  peer_link& peers_;
  event_sink* log_;
  std::vector<std::string> forwarding_peers_;
  std::vector<std::string> large_peers_;
  std::vector<std::string> relays_;
  /// By relay: excluded until.
  std::unordered_map<std::string, time_point> excluded_relays_;
  /// By relay: time of its last answer.
  std::unordered_map<std::string, time_point> relay_answered_at_;
  /// A relay that could not reach a target, which is not asked for that target until then.
  struct failed_relay {
    std::string relay;
    time_point until;
  };
  std::unordered_map<std::string, failed_relay> failed_relays_;  ///< by target address
  /// By address: the peer that reached it last. Using the same peer again keeps requests in order.
  std::unordered_map<std::string, std::string> preferred_peer_;
  std::size_t next_peer_{0};
  std::uint64_t relayed_{0};
  /// By address whose direct route failed: when the direct route is tried again, together with a
  /// peer, so that no caller waits for it.
  std::unordered_map<std::string, time_point> direct_retry_at_;
  /// By address: the one exchange that tries another route while the others wait for its result.
  std::unordered_map<std::string, std::weak_ptr<exchange>> probes_;
  /// By address: smoothed answer time.
  std::unordered_map<std::string, duration> smoothed_answer_times_;
};

}  // namespace rosearch::cell

#endif  // ROSEARCH_CELL_RELAYED_CLIENT_H_
