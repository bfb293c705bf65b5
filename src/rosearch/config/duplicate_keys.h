#ifndef ROSEARCH_CONFIG_DUPLICATE_KEYS_H_
#define ROSEARCH_CONFIG_DUPLICATE_KEYS_H_

#include <string>
#include <string_view>
#include <vector>

namespace rosearch::config::internal {

/// Finds keys that one object holds twice. Boost.JSON keeps the last of them without a word: an
/// operator who pastes a second `treat` into a rule would lose the first one and not notice.
/// @param text  JSON; what comes after a syntax error is not looked at.
/// @return the path of each repeated key.
[[nodiscard]] std::vector<std::string> FindDuplicateKeys(std::string_view text);

}  // namespace rosearch::config::internal

#endif  // ROSEARCH_CONFIG_DUPLICATE_KEYS_H_
