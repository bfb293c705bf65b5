#ifndef ROSEARCH_CONFIG_CONFIG_CHAIN_H_
#define ROSEARCH_CONFIG_CONFIG_CHAIN_H_

#include <cstddef>
#include <deque>
#include <memory>
#include <optional>
#include <string>

#include "rosearch/config/configuration.h"
#include "rosearch/core/error.h"
#include "rosearch/core/id.h"
#include "rosearch/wire/record.pb.h"

namespace rosearch::config {

/// What became of one published change.
enum class change_effect {
  kAccepted,  ///< took effect as `version`
  kRepeated,  ///< the second copy of a change that took effect as `version`
  kVoid,      ///< never takes effect; `cause` says why
};

/// The verdict on one record of the log, the same for every reader.
struct change_verdict {
  change_effect effect{change_effect::kVoid};
  /// The version that the change became; for a void one, the version that stands against it.
  config_version version{0};
  std::string change_id;
  std::string author;
  std::optional<error> cause;

  friend bool operator==(const change_verdict&, const change_verdict&) = default;
};

/// The configuration in force and how it came to be.
///
/// The versions form a chain in log order: a record takes effect only where it replaces the version
/// that the log had reached and raises it by one. Whether it does depends on nothing but that
/// version and its own text, so readers that began at different offsets agree.
class config_chain {
 public:
  /// Verdicts kept for operators who ask later.
  static constexpr std::size_t kHistory = 64;

  /// Takes the next record of the log.
  /// @return what became of it.
  change_verdict Apply(const wire::configuration_record& record);

  /// Judges a change before it is appended, against the version in force.
  [[nodiscard]] change_verdict Check(const wire::configuration_record& record) const;

  /// Takes the version in force from a peer. Lower and equal versions and unreadable documents are
  /// ignored, so that what is in force never reverts.
  /// @return whether it is in force now.
  bool Adopt(const wire::configuration_record& record);

  /// Takes the version from a snapshot of the control stream, for a reader that starts at the
  /// snapshot because the records before it are gone. Lower versions are ignored.
  /// @return whether the log's chain now stands at that version.
  bool AdoptSnapshot(const wire::configuration_record& record);

  /// @return the verdict on a change that was read from the log; none where it is unknown or old.
  [[nodiscard]] std::optional<change_verdict> Find(const std::string& change_id) const;

  /// @return the version in force; 0 where none was published.
  [[nodiscard]] config_version version() const noexcept { return in_force_.version(); }

  /// @return the configuration in force; never null.
  [[nodiscard]] const std::shared_ptr<const configuration>& current() const noexcept {
    return current_;
  }

  /// @return the record in force, for peers that are behind and for snapshots.
  [[nodiscard]] const wire::configuration_record& record() const noexcept { return in_force_; }

  /// @return the last verdicts, oldest first.
  [[nodiscard]] const std::deque<change_verdict>& history() const noexcept { return history_; }

 private:
  using parsed = checked<configuration>;

  [[nodiscard]] change_verdict Judge(const wire::configuration_record& record,
                                     config_version reached, parsed& document) const;
  void PutInForce(const wire::configuration_record& record, configuration value);

  config_version reached_{0};  ///< where the log's chain stands; a peer may have told us of more
  wire::configuration_record in_force_;
  std::shared_ptr<const configuration> current_{std::make_shared<const configuration>()};
  std::deque<change_verdict> history_;
};

}  // namespace rosearch::config

#endif  // ROSEARCH_CONFIG_CONFIG_CHAIN_H_
