#ifndef ROSEARCH_PLATFORM_VM_LIST_CLIENT_H_
#define ROSEARCH_PLATFORM_VM_LIST_CLIENT_H_

#include <string>

#include "rosearch/platform/http_client.h"
#include "rosearch/platform/ports.h"

namespace rosearch {

/// The platform's list of VMs over HTTP.
class vm_list_client {
 public:
  /// @param http     must outlive this object.
  /// @param address  host:port of the list.
  vm_list_client(http_client& http, std::string address);

  /// @param done  receives the whole list as the platform sees it, which lags behind the truth, or
  /// the
  ///              error of the request. An error says nothing about any VM.
  void Get(vm_list_callback done);

  /// @return what its requests have cost so far.
  [[nodiscard]] const http_traffic& traffic() const noexcept { return traffic_; }

 private:
  http_client& http_;
  std::string address_;
  http_traffic traffic_;
};

static_assert(vm_list_port<vm_list_client>);

}  // namespace rosearch

#endif  // ROSEARCH_PLATFORM_VM_LIST_CLIENT_H_
