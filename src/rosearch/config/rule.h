#ifndef ROSEARCH_CONFIG_RULE_H_
#define ROSEARCH_CONFIG_RULE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "rosearch/config/text_pattern.h"
#include "rosearch/core/id.h"
#include "rosearch/core/time.h"

namespace rosearch::config {

/// The classes of work that rules tell apart.
enum class work_class {
  kRequest,  ///< a request to an executor
  kBatch,    ///< independent tasks
  kGang,     ///< all tasks together or none
  kService,  ///< replicas that run until cancelled
};

/// Number of values of `work_class`.
inline constexpr std::size_t kWorkClasses = 4;

/// @return the word of a class in documents: request, batch, gang or service.
[[nodiscard]] std::string_view WorkClassName(work_class value) noexcept;

/// @return the class of that word; none where there is no such class.
[[nodiscard]] std::optional<work_class> WorkClassFromName(std::string_view name) noexcept;

/// What rules are matched against.
struct work_kind {
  customer_id customer;
  work_class kind{work_class::kRequest};
  std::string label{};
  std::string service{};  ///< the executors' service; empty for jobs
  bool urgent{false};

  friend bool operator==(const work_kind&, const work_kind&) = default;
};

/// Which work a rule is for.
struct rule_match {
  std::optional<customer_id> customer{};  ///< none: every customer
  std::optional<work_class> kind{};       ///< none: every class
  text_pattern label{};
  text_pattern service{};
  std::optional<bool> urgent{};  ///< none: urgent or not

  [[nodiscard]] bool Matches(const work_kind& work) const noexcept;

  /// @return whether this one matches all work that `other` matches.
  [[nodiscard]] bool Covers(const rule_match& other) const noexcept;

  friend bool operator==(const rule_match&, const rule_match&) = default;
};

/// Whether work is taken at all.
enum class admission { kAdmit, kReject };

/// How matching work is treated.
struct treatment {
  admission action{admission::kAdmit};
  std::string reason{};       ///< told to the caller of rejected work
  std::string policy{};       ///< pack, spread, quick or urgent; empty: that of its class
  std::uint32_t priority{0};  ///< higher goes first
  std::uint32_t retries{0};   ///< further attempts after the first, for each task or request
  std::optional<duration> deadline{};  ///< how long work may wait for its start; none: no limit
  bool preemptible{false};             ///< may be stopped for urgent work
  std::optional<bool> idempotent{};    ///< overrides what the caller declares

  friend bool operator==(const treatment&, const treatment&) = default;
};

/// When work of this kind arrives from this customer, then treat it so.
struct rule {
  std::string name;
  rule_match match{};
  treatment treat{};

  friend bool operator==(const rule&, const rule&) = default;
};

/// @return the placement policy of a rule for work of a class: the one that it names, else quick
/// for requests, spread for services and pack for batch work and gangs.
[[nodiscard]] std::string_view PolicyFor(const treatment& treat, work_class kind) noexcept;

}  // namespace rosearch::config

#endif  // ROSEARCH_CONFIG_RULE_H_
