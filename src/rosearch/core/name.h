#ifndef ROSEARCH_CORE_NAME_H_
#define ROSEARCH_CORE_NAME_H_

#include <string_view>

namespace rosearch {

/// @return whether a customer, job, request or change may be called that: 1 to 128 of A-Z a-z 0-9
///   . _ : - and nothing else, so that names can be joined into keys and stand in paths and
///   headers.
[[nodiscard]] bool IsValidName(std::string_view name) noexcept;

}  // namespace rosearch

#endif  // ROSEARCH_CORE_NAME_H_
