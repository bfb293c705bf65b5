#ifndef ROSEARCH_CELL_RELAYED_CLIENT_H_
#define ROSEARCH_CELL_RELAYED_CLIENT_H_

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "rosearch/cell/peer_link.h"
#include "rosearch/core/result.h"
#include "rosearch/core/time.h"
#include "rosearch/platform/http_client.h"

namespace rosearch::cell {

/// How one exchange may reach its target.
struct reach {
  /// Whether a peer may make the exchange where this process can't. Only for what may be carried
  /// out twice without harm.
  bool by_peer{true};
  /// Whether an answer of 429 or 503 may be meant for this process alone.
  bool refusal_may_be_ours{false};
  /// How long the direct way gets before a peer is tried beside it; zero: a peer is tried only
  /// where the direct way certainly carried nothing. For orders whose refusal must mean that no
  /// copy of them is under way.
  duration direct_patience{std::chrono::milliseconds{700}};

  friend bool operator==(const reach&, const reach&) = default;
};

/// HTTP exchanges that go by way of a peer where the direct way is broken. A process cut off from
/// the store or from some workers, but not from its peers, would otherwise have to give up what it
/// leads though nothing else is wrong.
class relayed_client {
 public:
  relayed_client(boost::asio::io_context& io, http_client& direct, peer_link& peers)
      : io_{io}, direct_{direct}, peers_{peers} {}

  /// Names the peers that may be asked.
  void SetPeers(std::vector<std::string> peers) { helpers_ = std::move(peers); }

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
  struct exchange;
  void SendDirect(const std::shared_ptr<exchange>& sent);
  void SendByPeer(const std::shared_ptr<exchange>& sent);
  [[nodiscard]] std::string ChoosePeer(const std::string& address);

  boost::asio::io_context& io_;
  http_client& direct_;
  peer_link& peers_;
  std::vector<std::string> helpers_;
  /// By address: the peer that reached it last. Staying with it keeps what is sent in order.
  std::unordered_map<std::string, std::string> good_helper_;
  std::size_t next_helper_{0};
  std::uint64_t relayed_{0};
  std::unordered_map<std::string, time_point> broken_until_;  ///< by address
};

}  // namespace rosearch::cell

#endif  // ROSEARCH_CELL_RELAYED_CLIENT_H_
