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

#include "rosearch/core/time.h"
#include "rosearch/net/peer_transport.h"
#include "rosearch/wire/cell.pb.h"

namespace rosearch::cell {

/// Questions and answers between the processes of a cell. All calls and callbacks run on the
/// thread of the io_context; the transport's own thread reads messages, answers pings with the
/// reply that it was given, and hands the messages over.
class peer_link {
 public:
  /// Gets the answer, or nothing where none came in time.
  using answer_callback = std::function<void(const wire::peer_frame*)>;
  /// Takes a message that answers no question of ours.
  using receive = std::function<void(const wire::peer_frame&)>;
  /// Gets the address of a watched peer whose connection broke.
  using broken = std::function<void(const std::string&)>;

  /// @param address  host:port to bind.
  /// @param life     drawn at random at each start of the process. Questions are numbered from it:
  ///                 a restarted process that counted from 1 again would get the answers that peers
  ///                 remember for its former life, and tell a caller that a job was accepted which
  ///                 nobody has ever seen.
  peer_link(boost::asio::io_context& io, const std::string& address, std::uint64_t life,
            receive on_message, broken on_broken = {});
  ~peer_link();
  peer_link(const peer_link&) = delete;
  peer_link& operator=(const peer_link&) = delete;

  /// Sends a message that expects no answer.
  void Tell(const std::string& to, wire::peer_frame frame);

  /// Sends a question. It is sent again every `kRepeat` until it is answered: a message to a peer
  /// whose connection is just being made is dropped.
  void Ask(const std::string& to, wire::peer_frame frame, time_point answer_by,
           answer_callback done);

  /// Sends a question once, together with others to the same peer: for what is cheaper to lose than
  /// to repeat. Its answer comes the same way.
  void AskOnce(const std::string& to, wire::peer_frame frame, time_point answer_by,
               answer_callback done);

  /// Ends all questions to a peer that is gone without an answer. Whoever asked can turn elsewhere
  /// at once: a caller's request that was on its way to a leader waited for a second longer.
  void Abandon(const std::string& to);

  /// Watches the connection to one peer, instead of that to the one before.
  void WatchConnection(const std::string& to) { transport_->WatchConnection(to); }

  /// Answers a question.
  void Answer(const wire::peer_frame& question, wire::peer_frame answer);

  /// Lets the transport's own thread answer pings of peers that follow the same leadership: a
  /// process that has more to do than it has time for is late, not dead, and must not look so.
  /// @param reply  a pong; null: this process no longer leads.
  /// @param until  then the thread that should have renewed it stands still.
  void SetPingReply(std::unique_ptr<wire::peer_frame> reply, time_point until);
  /// Names the members that replies to pings list for peers that hold another list.
  /// @param members  a pong with members and their version.
  void SetPingMembers(std::unique_ptr<wire::peer_frame> members);
  /// @return whether the transport's thread answers a ping.
  [[nodiscard]] bool RepliesTo(const wire::peer_frame& ping) const;

  /// @return questions of peers that are remembered, so that none is acted upon twice.
  [[nodiscard]] std::size_t Remembered() const { return received_.size(); }

  /// @return host:port that is bound.
  [[nodiscard]] const std::string& address() const;

  /// Between two sendings of a question. Three times the round trip across failure domains on a
  /// slow day, so that an answer that is under way is rarely asked for twice.
  static constexpr duration kRepeat = std::chrono::milliseconds{150};

  /// What goes out in bundles is collected for so long.
  static constexpr duration kCollect = std::chrono::milliseconds{4};

 private:
  struct question {
    std::string to;
    wire::peer_frame frame;
    time_point answer_by;
    answer_callback done;
    boost::asio::steady_timer timer;
  };
  /// What became of a question that was received.
  struct received {
    std::string key;
    time_point forget_at;
  };
  void Wait(std::uint64_t exchange);
  [[nodiscard]] std::uint64_t NextExchange();
  /// Sends a message together with others to the same peer, a little later.
  void Collect(const std::string& to, wire::peer_frame frame);
  void SendCollected();
  [[nodiscard]] bool RepliesToLocked(const wire::peer_frame& ping) const;
  /// Answers a ping on the transport's own thread, where there is a reply for it.
  void ReplyToPing(const wire::peer_frame& ping);
  /// Takes a message on the transport's own thread.
  void HandOver(const std::string& bytes);
  void Receive(const wire::peer_frame& frame);
  [[nodiscard]] bool IsRepeat(const wire::peer_frame& question);

  boost::asio::io_context& io_;
  receive on_message_;
  broken on_broken_;
  std::uint64_t next_exchange_;
  std::unordered_map<std::uint64_t, std::unique_ptr<question>> questions_;
  // A question that comes again is not acted upon again; where it was answered, the answer goes out
  // again. Otherwise one lost answer would make a peer carry out an order twice.
  std::unordered_map<std::string, std::string> answers_;  ///< by asker and number; empty: not yet
  std::deque<received> received_;
  std::unordered_map<std::string, wire::peer_frame> collected_;  ///< bundles by peer
  boost::asio::steady_timer collect_timer_;
  std::shared_ptr<bool> alive_{std::make_shared<bool>(true)};
  mutable std::mutex reply_mutex_;
  std::unique_ptr<wire::peer_frame> ping_reply_;    ///< guarded by `reply_mutex_`, as the next two
  std::unique_ptr<wire::peer_frame> ping_members_;  ///< unset: none are known
  time_point ping_reply_until_{};
  std::unique_ptr<peer_transport> transport_;
};

}  // namespace rosearch::cell

#endif  // ROSEARCH_CELL_PEER_LINK_H_
