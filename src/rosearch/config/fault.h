#ifndef ROSEARCH_CONFIG_FAULT_H_
#define ROSEARCH_CONFIG_FAULT_H_

#include <algorithm>
#include <optional>
#include <string>
#include <vector>

namespace rosearch::config {

/// How bad a fault is.
enum class fault_severity {
  kError,    ///< the document is refused
  kWarning,  ///< the document is taken, but probably doesn't do what its author means
};

/// One thing wrong with a document.
struct fault {
  std::string path;     ///< where, as in `rules[3].match.kind`
  std::string found;    ///< what stands there
  std::string allowed;  ///< what may stand there
  fault_severity severity{fault_severity::kError};

  friend bool operator==(const fault&, const fault&) = default;
};

/// @return one line for people.
[[nodiscard]] std::string ToString(const fault& value);

/// @return one line for people, with all faults.
[[nodiscard]] std::string ToString(const std::vector<fault>& faults);

/// @return whether a document with these faults is refused.
[[nodiscard]] inline bool HasError(const std::vector<fault>& faults) noexcept {
  return std::ranges::any_of(
      faults, [](const fault& each) { return each.severity == fault_severity::kError; });
}

/// A value read from a document, and everything wrong with that document.
/// @tparam T  type of the value, present where no fault is an error.
template <typename T>
struct checked {
  std::optional<T> value;
  std::vector<fault> faults;
};

}  // namespace rosearch::config

#endif  // ROSEARCH_CONFIG_FAULT_H_
