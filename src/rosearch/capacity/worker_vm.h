#ifndef ROSEARCH_CAPACITY_WORKER_VM_H_
#define ROSEARCH_CAPACITY_WORKER_VM_H_

#include <set>
#include <utility>

#include "rosearch/capacity/attempt_key.h"
#include "rosearch/capacity/worker_session.h"
#include "rosearch/wire/platform.pb.h"

namespace rosearch::internal {

/// One worker VM of a shard.
struct worker_vm {
  wire::vm_record listed;  ///< as last listed; without an address where it never was
  bool present{};          ///< in the newest list
  bool drained{};          ///< by an operator's order
  worker_session session;
  std::set<attempt_key> tasks;   ///< the placements on it
  std::set<attempt_key> strays;  ///< run there against all records: to be stopped

  [[nodiscard]] bool Leaving() const { return drained || listed.leaving(); }
  /// @return whether a start may be sent to it.
  [[nodiscard]] bool TakesStarts() const { return present && !Leaving() && session.verified(); }
};

}  // namespace rosearch::internal

#endif  // ROSEARCH_CAPACITY_WORKER_VM_H_
