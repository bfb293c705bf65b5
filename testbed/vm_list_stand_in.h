#ifndef ROSEARCH_TESTBED_VM_LIST_STAND_IN_H_
#define ROSEARCH_TESTBED_VM_LIST_STAND_IN_H_

#include <deque>
#include <map>
#include <string>

#include "rosearch/core/time.h"
#include "rosearch/wire/platform.pb.h"
#include "testbed/fault.h"
#include "testbed/http_server.h"

namespace rosearch::testbed {

/// The platform's VM list.
///   GET /v1/vms (with ETag and If-None-Match); POST /v1/set with a vm_list_answer adds or
///   replaces; POST /v1/remove with one drops those named; GET /stats
class vm_list_stand_in {
 public:
  vm_list_stand_in(boost::asio::io_context& io, const fault_settings& fault);

  void Handle(const server_request& request, const respond_function& respond);

  /// @return {"vms", "reads"}
  [[nodiscard]] std::string Stats() const;

 private:
  using vm_table = std::map<std::string, wire::vm_record>;
  struct version {
    time_point since;
    vm_table vms;
  };

  void Change(const server_request& request, const respond_function& respond);
  [[nodiscard]] std::string List() const;
  /// @return the list, or 304 where the caller names the ETag of this very list.
  [[nodiscard]] server_reply Shown(const server_request& request) const;

  const fault_settings& fault_;
  std::deque<version> history_;  ///< the newest last
  mutable std::uint64_t reads_{0};
};

}  // namespace rosearch::testbed

#endif  // ROSEARCH_TESTBED_VM_LIST_STAND_IN_H_
