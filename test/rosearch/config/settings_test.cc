#include "rosearch/config/settings.h"

#include <catch2/catch.hpp>
#include <chrono>
#include <cstdlib>
#include <fstream>
#include <sstream>
#include <string>
#include <vector>

namespace rosearch::config {
namespace {

using namespace std::chrono_literals;

std::string Document(std::string_view rest) {
  return R"({"entry":{"name":"e1","region":"south","failure_domain":"a"},
             "platform":{"log":["127.0.0.1:1"],"vm_list":"127.0.0.1:2"},
             "cell":{"regions":[{"name":"south","shards":4},{"name":"north","shards":2}]})" +
         std::string{rest} + "}";
}

struct faulty_row {
  std::string text;
  std::string path;
};

std::string ReadFile(const std::string& name) {
  std::ostringstream text;
  text << std::ifstream{name}.rdbuf();
  return text.str();
}

}  // namespace

TEST_CASE("few keys are enough, the rest has defaults") {
  const auto read = ParseSettings(Document(R"(,"http":{"port":0})"));
  INFO(ToString(read.faults));
  REQUIRE(read.value);
  CHECK(read.value->http.port == 0);
  CHECK(read.value->http.advertised_host == "127.0.0.1");
  CHECK(read.value->rights.right == duration{3s});
  CHECK(read.value->cell.ShardCount() == 6);
  CHECK(read.value->cell.RegionOf(3) == region_id{"south"});
  CHECK(read.value->cell.RegionOf(6).empty());
  CHECK(read.value->cell.ShardsOf(region_id{"north"}) == std::vector<shard_number>{4, 5});
}

TEST_CASE("settings that can't work together are refused") {
  // Each value is fine by itself, so a check of single keys lets it pass; the entry then loses its
  // rights at every lost message, or a successor doesn't find what it must know.
  const std::vector<faulty_row> rows{
      {Document(R"(,"rights":{"right_ms":1000,"renew_ms":600})"), "rights.renew_ms"},
      {Document(R"(,"leases":{"lease_ms":1000,"renew_ms":600})"), "leases.renew_ms"},
      {Document(R"(,"journal":{"retry_least_ms":9000})"), "journal.retry_least_ms"},
      {Document(R"(,"stop":{"grace_ms":1000})"), "stop.unready_ms"},
      {Document(R"(,"journal":{"retention_ms":60000})"), "limits.request_memory_ms"},
      {Document(R"(,"htpp":{})"), "htpp"},
      {R"({"entry":{"name":"e1","region":"west","failure_domain":"a"},
           "platform":{"log":["a:1"],"vm_list":"b:2"},
           "cell":{"regions":[{"name":"south","shards":4}]}})",
       "entry.region"},
  };
  for (const auto& row : rows) {
    INFO(row.path);
    const auto read = ParseSettings(row.text);
    CHECK_FALSE(read.value);
    REQUIRE(read.faults.size() == 1);
    CHECK(read.faults[0].path == row.path);
  }
  CHECK(ParseSettings("{}").faults.size() == 3);
}

TEST_CASE("the page of settings is the table that the program checks against") {
  const std::string page = ROSEARCH_BIN_DIR "/../../docs/SETTINGS.md";
  const bool write = std::getenv("ROSEARCH_WRITE_DOCS") != nullptr;
  if (write) {
    std::ofstream{page} << SettingsMarkdown();
  }
  CHECK(ReadFile(page) == SettingsMarkdown());
}

}  // namespace rosearch::config
