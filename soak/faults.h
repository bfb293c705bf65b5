#ifndef SOAK_FAULTS_H_
#define SOAK_FAULTS_H_

#include "soak/callers.h"
#include "soak/world.h"

namespace rosearch::soak {

/// Decides which faults a run meets and when.
class faults {
 public:
  faults(world& all, callers& work) : world_{all}, callers_{work} {}

  /// Begins the next fault where it is due.
  void Step();
  /// Ends every fault that lasts.
  void EndAll();

 private:
  void Entry(std::int64_t which, std::size_t index, moment span);
  void Platform(std::int64_t which, moment until);
  void Worker(std::int64_t which, moment until);
  void Executor(std::int64_t which, moment until);
  void Leave(const std::string& vm);
  void ReplaceWorker(const std::string& name);

  world& world_;
  callers& callers_;
  moment next_at_{15 * kSecond};
};

}  // namespace rosearch::soak

#endif  // SOAK_FAULTS_H_
