#include "rosearch/ownership/internal/rights_failure.h"

#include <glog/logging.h>

#include <cstdlib>

namespace rosearch::internal {

void FailRights(const std::string& what) {
  LOG(FATAL) << "ownership: " << what;
  std::abort();
}

}  // namespace rosearch::internal
