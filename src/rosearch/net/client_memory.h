#ifndef ROSEARCH_NET_CLIENT_MEMORY_H_
#define ROSEARCH_NET_CLIENT_MEMORY_H_

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <string_view>
#include <unordered_set>
#include <vector>

namespace rosearch {

/// Why a client was refused or its connection closed before it got an answer.
enum class client_refusal : std::uint8_t {
  kMemory,        ///< it held most for longest when the memory for clients was full
  kCalls,         ///< whole, but the calls under way fill their part of that memory
  kConnections,   ///< its connection gave way to a new one
  kHeadTooLarge,  ///< beyond the limit of a head
  kBodyTooLarge,  ///< beyond the limit of a body
  kFraming,       ///< chunk extensions or trailers beyond their limit
  kMalformed,     ///< not HTTP
};
inline constexpr std::size_t kClientRefusals = 7;

/// @return the name for metrics and logs, such as `head_too_large`.
[[nodiscard]] std::string_view ToText(client_refusal reason) noexcept;

/// What a `client_memory` holds now, and what it refused since its start.
struct client_memory_figures {
  std::size_t limit_bytes{0};
  std::size_t held_bytes{0};
  std::size_t call_bytes{0};  ///< of these, calls under way and their copies
  std::size_t connections{0};
  std::array<std::uint64_t, kClientRefusals> refused{};  ///< by `client_refusal`

  friend bool operator==(const client_memory_figures&, const client_memory_figures&) = default;
};

/// Bounds the bytes that all clients together make a process hold, from the first byte of a request
/// to the closed connection. Limits of each connection don't do that: clients within them exhaust
/// the memory by their number. When the limit is reached, connections are shed, those first that
/// have held most for longest without a whole request: a small request that has just arrived is
/// never among them. Calls under way are never shed, as they may have had an effect already.
/// Thread-safe.
class client_memory {
 public:
  using time_point = std::chrono::steady_clock::time_point;
  class share;

  explicit client_memory(std::size_t limit_bytes) : limit_{limit_bytes} {}

  /// Sheds the connection of a server that is worth least, to make room for a new one.
  /// @param server  as given to its shares.
  /// @return whether there was one.
  bool ShedOne(const void* server, time_point now);

  /// Counts a client that was refused.
  void Count(client_refusal reason);

  [[nodiscard]] client_memory_figures Figures() const;

 private:
  struct candidate {
    double weight;
    share* which;
  };

  [[nodiscard]] bool IsFullLocked() const { return held_ - leaving_ > limit_; }
  /// Chooses shares to shed until the held bytes are back under the limit with a margin.
  /// @return what sheds them, to be called without the lock.
  std::vector<std::function<void()>> MakeRoomLocked(time_point now);
  std::vector<candidate> CandidatesLocked(const void* server, time_point now) const;
  std::function<void()> LeaveLocked(share& which);

  const std::size_t limit_;
  mutable std::mutex mutex_;
  std::unordered_set<share*> shares_;
  std::size_t held_{0};
  std::size_t calls_{0};
  std::size_t leaving_{0};  ///< held by shares that were told to go
  std::array<std::uint64_t, kClientRefusals> refused_{};
};

/// What one connection holds. Entered and left in the account as it changes.
class client_memory::share {
 public:
  /// @param account  of the whole process.
  /// @param server   groups the connections of one server for `ShedOne`.
  /// @param shed     ends the connection; called from any thread, once and once more after
  /// `Finish`.
  share(std::shared_ptr<client_memory> account, const void* server, std::function<void()> shed);
  ~share();
  share(const share&) = delete;
  share& operator=(const share&) = delete;

  /// Enters what the connection holds while it is idle, or while a request arrives.
  /// @param bytes  all that it holds.
  /// @param since  when this request, or the idle time, began.
  /// @return false if this connection is to go: it has been shed, now or before.
  [[nodiscard]] bool Hold(std::size_t bytes, time_point since, time_point now);

  /// Enters a whole request, which is not shed until its answer is written.
  /// @param bytes  with all its copies.
  /// @return false if there is no room for it among the calls under way. Small ones still find room
  ///         where large ones don't.
  [[nodiscard]] bool BeginCall(std::size_t bytes, time_point now);

  /// Enters the answer of a call, which may be shed if its client doesn't read it.
  /// @param shed_from  not before this moment.
  void HoldAnswer(std::size_t bytes, time_point shed_from, time_point now);

  /// @return whether there is room for an answer of that size.
  [[nodiscard]] bool HasRoomForAnswer(std::size_t bytes) const;

  /// Marks a connection that has had its last answer, a refusal too: it goes before all others.
  void Finish(std::size_t bytes, time_point now);

 private:
  friend class client_memory;

  void EnterLocked(std::size_t bytes, bool is_call);

  std::shared_ptr<client_memory> account_;
  const void* server_;
  std::function<void()> shed_;
  std::size_t bytes_{0};
  time_point since_{};
  bool is_call_{false};
  bool finished_{false};
  bool leaving_{false};
};

}  // namespace rosearch

#endif  // ROSEARCH_NET_CLIENT_MEMORY_H_
