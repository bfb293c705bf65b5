#include "rosearch/config/fault.h"

namespace rosearch::config {

std::string ToString(const fault& value) {
  const std::string kind = value.severity == fault_severity::kError ? "" : "warning: ";
  const std::string where = value.path.empty() ? "document" : value.path;
  return kind + where + ": found " + value.found + "; allowed: " + value.allowed;
}

std::string ToString(const std::vector<fault>& faults) {
  std::string all;
  for (const auto& each : faults) {
    all.append(all.empty() ? "" : " | ").append(ToString(each));
  }
  return all;
}

}  // namespace rosearch::config
