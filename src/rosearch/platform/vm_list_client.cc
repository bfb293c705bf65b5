#include "rosearch/platform/vm_list_client.h"

#include <chrono>
#include <string_view>
#include <utility>

#include "rosearch/platform/answer.h"
#include "rosearch/platform/clock.h"

namespace rosearch {
namespace {

constexpr duration kListTimeout = std::chrono::seconds{2};

constexpr std::string_view kTagHeader = "etag";
constexpr std::string_view kIfNoneMatch = "if-none-match";
constexpr unsigned kNotModified = 304;

}  // namespace

vm_list_client::vm_list_client(http_client& http, std::string address)
    : http_{http}, address_{std::move(address)} {}

void vm_list_client::Get(vm_list_callback done) {
  const auto known = Known();
  http_request request{.address = address_,
                       .target = "/v1/vms",
                       .answer_by = SteadyNow() + kListTimeout,
                       .idempotent = true,
                       .traffic = &traffic_};
  if (known != nullptr) {
    request.headers.push_back({std::string{kIfNoneMatch}, known->tag});
  }
  http_.Send(std::move(request),
             [this, known, done = std::move(done)](const result<http_reply>& answer) {
               done(Take(answer, known.get()));
             });
}

std::shared_ptr<const vm_list_client::tagged_list> vm_list_client::Known() const {
  const std::scoped_lock lock{mutex_};
  return known_;
}

result<wire::vm_list_answer> vm_list_client::Take(const result<http_reply>& answer,
                                                  const tagged_list* asked_with) {
  const bool unchanged = answer.has_value() && answer.value().status == kNotModified;
  if (unchanged && asked_with != nullptr) {
    return asked_with->list;
  }
  auto list = internal::ReadAnswer<wire::vm_list_answer>(answer);
  if (list.has_value()) {
    const std::string tag{FindHeader(answer.value().headers, kTagHeader)};
    const std::scoped_lock lock{mutex_};
    known_ =
        tag.empty() ? nullptr : std::make_shared<const tagged_list>(tagged_list{tag, list.value()});
  }
  return list;
}

}  // namespace rosearch
