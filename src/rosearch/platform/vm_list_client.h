#ifndef ROSEARCH_PLATFORM_VM_LIST_CLIENT_H_
#define ROSEARCH_PLATFORM_VM_LIST_CLIENT_H_

#include <memory>
#include <mutex>
#include <string>

#include "rosearch/platform/http_client.h"
#include "rosearch/platform/ports.h"

namespace rosearch {

/// The platform's list of VMs over HTTP. A list that is known already is not sent again where the
/// platform marks its lists with an ETag: at 760 workers it is 100 KB, and read every 2 s it alone
/// would use several times the bytes that a node may spend.
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
  /// A list and the platform's mark of it.
  struct tagged_list {
    std::string tag;
    wire::vm_list_answer list;
  };

  [[nodiscard]] std::shared_ptr<const tagged_list> Known() const;
  [[nodiscard]] result<wire::vm_list_answer> Take(const result<http_reply>& answer,
                                                  const tagged_list* asked_with);

  http_client& http_;
  std::string address_;
  http_traffic traffic_;
  mutable std::mutex mutex_;
  std::shared_ptr<const tagged_list> known_;  ///< guarded by `mutex_`
};

static_assert(vm_list_port<vm_list_client>);

}  // namespace rosearch

#endif  // ROSEARCH_PLATFORM_VM_LIST_CLIENT_H_
