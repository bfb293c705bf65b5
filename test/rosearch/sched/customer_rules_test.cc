#include "rosearch/sched/customer_rules.h"

#include <catch2/catch.hpp>

namespace rosearch::sched {
namespace {

customer_rules Customer(const std::string& name, const std::vector<std::string>& keys) {
  customer_rules customer{name, 1, {}, {}};
  for (const auto& key : keys) {
    customer.keys.push_back(key_digest::Of(key));
  }
  return customer;
}

}  // namespace

TEST_CASE("a key identifies its customer, and no other text does") {
  const customer_keys keys{{Customer("a", {"k1", "k2"}), Customer("b", {"k3"}), Customer("c", {})}};
  REQUIRE(keys.Find(key_digest::Of("k2")) != nullptr);
  CHECK(*keys.Find(key_digest::Of("k2")) == "a");
  CHECK(*keys.Find(key_digest::Of("k3")) == "b");
  CHECK(keys.Find(key_digest::Of("k")) == nullptr);
  CHECK(keys.Find(key_digest::Of("")) == nullptr);
}

TEST_CASE("a key that two customers share is found") {
  CHECK(FindSharedKey({Customer("a", {"k1"}), Customer("b", {"k2"})}) == nullptr);
  const std::vector<customer_rules> sharing{Customer("a", {"k1"}), Customer("b", {"k2", "k1"})};
  REQUIRE(FindSharedKey(sharing) != nullptr);
  CHECK(FindSharedKey(sharing)->name == "b");
}

TEST_CASE("a digest survives its binary form and doesn't contain the key") {
  const auto digest = key_digest::Of("secret-key");
  CHECK(key_digest::FromBytes(digest.bytes()) == digest);
  CHECK(digest.bytes().find("secret") == std::string::npos);
  CHECK_FALSE(key_digest::FromBytes("short"));
  CHECK_FALSE(key_digest::FromBytes(""));
}

}  // namespace rosearch::sched
