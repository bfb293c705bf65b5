#ifndef ROSEARCH_CORE_NAME_H_
#define ROSEARCH_CORE_NAME_H_

#include <string_view>

namespace rosearch {

/// @return whether the name is valid for a customer, job, request or change: 1 to 128 characters
///   out of A-Z a-z 0-9 . _ : - so that names can be joined into keys and used in paths and
///   headers.
[[nodiscard]] bool IsValidName(std::string_view name) noexcept;

}  // namespace rosearch

#endif  // ROSEARCH_CORE_NAME_H_
