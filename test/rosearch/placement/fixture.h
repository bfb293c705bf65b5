#ifndef ROSEARCH_TEST_PLACEMENT_FIXTURE_H_
#define ROSEARCH_TEST_PLACEMENT_FIXTURE_H_

#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <string>
#include <string_view>
#include <utility>

#include "rosearch/placement/ledger.h"
#include "rosearch/placement/policy.h"

namespace rosearch {

/// A VM in the place given; racks are numbered within their failure domain.
inline vm_facts VmAt(int number, resources holds, int domain = 0, int rack = 0) {
  auto digits = std::to_string(number);
  digits.insert(0, 3 - std::min<std::size_t>(3, digits.size()), '0');
  return {vm_id{"vm" + digits}, region_id{"r"}, failure_domain_id{"fd" + std::to_string(domain)},
          rack_id{"rack" + std::to_string(rack)}, holds};
}

inline commitment TaskOf(std::string task, resources needs, std::uint32_t priority = 0,
                         bool preemptible = false, std::string group = {}) {
  return {std::move(task), 1, needs, priority, preemptible, std::move(group)};
}

inline const policy& PolicyOf(std::string_view name) {
  return *policy_registry::Find(name).value();
}

/// @return whether `action` ends the process by a failed CHECK, seen from a copy of this process.
template <typename Action>
bool EndsProcess(Action action) {
  const auto child = fork();
  if (child == 0) {
    std::signal(SIGABRT, SIG_DFL);  // the test framework reports an abort as a failed test
    close(STDERR_FILENO);
    action();
    _exit(0);
  }
  int status = 0;
  waitpid(child, &status, 0);
  return WIFSIGNALED(status) && WTERMSIG(status) == SIGABRT;
}

}  // namespace rosearch

#endif  // ROSEARCH_TEST_PLACEMENT_FIXTURE_H_
