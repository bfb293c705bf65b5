#include "rosearch/platform/vm_list_client.h"

#include <chrono>
#include <utility>

#include "rosearch/platform/answer.h"
#include "rosearch/platform/clock.h"

namespace rosearch {
namespace {

constexpr duration kListTimeout = std::chrono::seconds{2};

}  // namespace

vm_list_client::vm_list_client(http_client& http, std::string address)
    : http_{http}, address_{std::move(address)} {}

void vm_list_client::Get(vm_list_callback done) {
  http_request request{.address = address_,
                       .target = "/v1/vms",
                       .answer_by = SteadyNow() + kListTimeout,
                       .idempotent = true,
                       .traffic = &traffic_};
  http_.Send(std::move(request), [done = std::move(done)](const result<http_reply>& answer) {
    done(internal::ReadAnswer<wire::vm_list_answer>(answer));
  });
}

}  // namespace rosearch
