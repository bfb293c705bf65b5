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

/// How one exchange may reach its target.
struct reach {
  /// Whether a peer may make the exchange where this process can't. Only for what may be carried
  /// out twice without harm.
  bool by_peer{true};
  /// Whether an answer of 429 or 503 may be meant for this process alone.
  bool refusal_may_be_ours{false};
  /// How long a way gets, beyond `wait`, before the next one is tried beside it; zero: another way
  /// is tried only where those before certainly carried nothing. For orders whose refusal must mean
  /// that no copy of them is under way.
  duration patience{std::chrono::milliseconds{700}};
  /// How long the target itself may keep its answer back.
  duration wait{};
  /// Whether `patience` shrinks to a few times what this target usually takes. A connection that
  /// went silent is then noticed in 0.06 s where the target answers in 5 ms, and a target that
  /// answers in 0.5 s isn't asked twice for everything.
  bool learns{false};
  /// Whether a relay makes the exchange where there are any.
  bool by_relay{false};

  friend bool operator==(const reach&, const reach&) = default;
};

/// HTTP exchanges that go by way of a peer where the direct way is broken. A process cut off from
/// the store or from some workers, but not from its peers, would otherwise have to give up what it
/// leads though nothing else is wrong.
class relayed_client {
 public:
  /// @param log  may be null.
  relayed_client(boost::asio::io_context& io, http_client& direct, peer_link& peers,
                 event_sink* log = nullptr)
      : io_{io}, direct_{direct}, peers_{peers}, log_{log} {}

  /// Names the peers that may be asked.
  void SetPeers(std::vector<std::string> peers) { helpers_ = std::move(peers); }

  /// Names the relays: peers that make all exchanges which may go by a relay; empty: none. In a
  /// large cell those with workers take most of a leader's processor, while its peers are idle.
  void SetRelays(std::vector<std::string> relays) { relays_ = std::move(relays); }

  /// @return whether there are relays.
  [[nodiscard]] bool HasRelays() const { return !relays_.empty(); }

  /// Sends a request; the callback runs once, on the thread of the io_context. The answer of a peer
  /// carries no headers.
  void Send(http_request request, const reach& how, http_callback done);

  /// Makes an exchange from a certain peer.
  void SendFrom(const std::string& peer, const http_request& request, http_callback done);

  /// Makes an exchange on behalf of a peer and answers it.
  void Serve(const wire::peer_frame& question);

  /// @return exchanges that went by way of a peer, since the start.
  [[nodiscard]] std::uint64_t Relayed() const { return relayed_; }

 private:
  enum class way : std::uint8_t { kRelay, kDirect, kPeer };
  struct exchange;

  [[nodiscard]] std::deque<way> WaysTo(const std::string& address, const reach& how);
  void TryNext(const std::shared_ptr<exchange>& sent);
  void TryNextAfter(const std::shared_ptr<exchange>& sent, duration patience);
  void TryNextUnlessSlow(const std::shared_ptr<exchange>& sent);
  void SendDirect(const std::shared_ptr<exchange>& sent);
  void SendByPeer(const std::shared_ptr<exchange>& sent, const std::string& peer);
  void SendByRelay(const std::shared_ptr<exchange>& sent, const std::string& relay);
  /// @return the peer that carries exchanges with an address, always the same while the relays
  ///         are; empty where none can.
  [[nodiscard]] std::string RelayOf(const std::string& address) const;
  /// Leaves a relay alone that didn't answer.
  void RestRelay(const std::string& relay);
  void OnFailure(const std::shared_ptr<exchange>& sent, result<http_reply> answer);
  [[nodiscard]] duration Patience(const exchange& sent) const;
  void Learn(const exchange& sent, time_point sent_at);
  /// @return a peer to ask; empty where there is none that wasn't tried.
  [[nodiscard]] std::string ChoosePeer(const exchange& sent);

  boost::asio::io_context& io_;
  http_client& direct_;
  peer_link& peers_;
  event_sink* log_;
  std::vector<std::string> helpers_;
  std::vector<std::string> relays_;
  std::unordered_map<std::string, time_point> resting_;      ///< relays, until when
  std::unordered_map<std::string, time_point> relay_heard_;  ///< relays, when one last answered
  /// By address that a relay failed to reach: until when it is reached otherwise.
  std::unordered_map<std::string, time_point> unrelayed_;
  /// By address: the peer that reached it last. Staying with it keeps what is sent in order.
  std::unordered_map<std::string, std::string> good_helper_;
  std::size_t next_helper_{0};
  std::uint64_t relayed_{0};
  /// By address whose direct way brought no answer where a peer's did: when the direct way is next
  /// tried, beside a peer, so that nobody waits for it.
  std::unordered_map<std::string, time_point> broken_;
  /// By address: the exchange that tries another way on behalf of all.
  std::unordered_map<std::string, std::weak_ptr<exchange>> scouts_;
  /// By address: what an answer takes, smoothed.
  std::unordered_map<std::string, duration> usual_;
};

}  // namespace rosearch::cell

#endif  // ROSEARCH_CELL_RELAYED_CLIENT_H_
