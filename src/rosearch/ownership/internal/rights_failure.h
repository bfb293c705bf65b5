#ifndef ROSEARCH_OWNERSHIP_INTERNAL_RIGHTS_FAILURE_H_
#define ROSEARCH_OWNERSHIP_INTERNAL_RIGHTS_FAILURE_H_

#include <string>

namespace rosearch::internal {

// Ends the process with `what`. Apart, so that a header that tests include brings no glog macros
// with it: glog and Catch2 both define CHECK, and the later one silently wins.
[[noreturn]] void FailRights(const std::string& what);

}  // namespace rosearch::internal

#endif  // ROSEARCH_OWNERSHIP_INTERNAL_RIGHTS_FAILURE_H_
