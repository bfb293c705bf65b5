#include "rosearch/platform/vm_list_client.h"

#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "served.h"
#include "testbed/vm_list_stand_in.h"

namespace rosearch::testing {
namespace {

using vm_list = served<testbed::vm_list_stand_in>;

result<wire::vm_list_answer> List(vm_list& service) {
  running_client client;
  vm_list_client vms{client.http(), service.address()};
  return Await<wire::vm_list_answer>([&](vm_list_callback done) { vms.Get(std::move(done)); });
}

constexpr auto kTwo =
    R"({"vms":[{"vm":"a","kind":"VM_EXECUTOR","address":"127.0.0.1:9","slots":8},{"vm":"b"}]})";

}  // namespace

TEST_CASE("the VM list shows what was set") {
  vm_list service{0};
  REQUIRE(service.Post("/v1/set", kTwo) == 200);
  REQUIRE(service.Post("/v1/set", R"({"vms":[{"vm":"b","leaving":true}]})") == 200);

  auto shown = List(service).value();
  REQUIRE(shown.vms_size() == 2);
  CHECK(shown.vms(0).kind() == wire::VM_EXECUTOR);
  CHECK(shown.vms(0).slots() == 8);
  CHECK(shown.vms(1).leaving());

  REQUIRE(service.Post("/v1/remove", R"({"vms":[{"vm":"a"}]})") == 200);
  shown = List(service).value();
  REQUIRE(shown.vms_size() == 1);
  CHECK(shown.vms(0).vm() == "b");
}

TEST_CASE("a list that is known is not sent again, and a changed one is") {
  vm_list service{0};
  running_client client;
  vm_list_client vms{client.http(), service.address()};
  const auto size = [&] {
    const auto list =
        Await<wire::vm_list_answer>([&](vm_list_callback done) { vms.Get(std::move(done)); });
    return list.value().vms_size();
  };
  REQUIRE(service.Post("/v1/set", kTwo) == 200);
  REQUIRE(size() == 2);
  const auto whole = vms.traffic().bytes_received.load();
  REQUIRE(size() == 2);
  CHECK(vms.traffic().bytes_received.load() - whole < whole);
  REQUIRE(service.Post("/v1/remove", R"({"vms":[{"vm":"a"}]})") == 200);
  CHECK(size() == 1);
}

// The list lags: what was set a moment ago does not show yet.
TEST_CASE("the VM list lags on request") {
  vm_list service{0};
  REQUIRE(service.Post("/fault", R"({"lag_ms":60000})") == 200);
  REQUIRE(service.Post("/v1/set", kTwo) == 200);
  CHECK(List(service).value().vms_size() == 0);
}

// The list is down or answers rubbish. Taken for an empty list, it would mean that every VM is
// gone, and all work would be started again elsewhere.
TEST_CASE("a VM list that fails is not an empty one", "[whole-answer]") {
  const std::string fault =
      GENERATE(R"({"down":true})", R"({"garbage_answers":1})", R"({"cut_answers":1})");
  CAPTURE(fault);
  vm_list service{0};
  REQUIRE(service.Post("/v1/set", kTwo) == 200);
  REQUIRE(service.Post("/fault", fault) == 200);

  const auto answer = List(service);

  REQUIRE(answer.has_error());
  CHECK(answer.error().kind == error_kind::kTargetLost);
}

}  // namespace rosearch::testing
