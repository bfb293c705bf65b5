#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <memory>
#include <string>
#include <vector>

#include "process/cell.h"

namespace rosearch::test {
namespace {

using tcp = boost::asio::ip::tcp;

struct wrong_call {
  const char* name;
  const char* path;
  std::string body;
  unsigned status;
  const char* kind;
};

// Callers make mistakes: JSON that breaks off, a job larger than every VM, a body beyond the bound.
// Each has to learn so at once, by a whole answer that says that nothing ran.
TEST_CASE("a wrong call is refused whole and at once", "[whole-answer][truthful-not-run]") {
  cell cell{{.entries = 2, .max_body_bytes = 4096}};
  const std::string needs = R"("needs":{"processors_milli":1000,"memory_mb":)";
  const std::vector<wrong_call> rows{
      {"broken JSON", "/v1/jobs", R"({"customer":"calandria","job":)", 400, "invalid_request"},
      {"no object", "/v1/jobs", "[]", 400, "invalid_request"},
      {"unknown key", "/v1/jobs",
       R"({"customer":"calandria","job":"a","colour":1,)" + needs + "1}}", 400, "invalid_request"},
      {"never fits", "/v1/jobs", R"({"customer":"calandria","job":"a",)" + needs + "70000}}", 422,
       "never_fits"},
      {"unknown customer", "/v1/jobs", R"({"customer":"nobody","job":"a",)" + needs + "1}}", 403,
       "unknown_customer"},
      {"oversize", "/v1/jobs", std::string(5000, 'x'), 413, "invalid_request"},
      {"far oversize", "/v1/jobs", std::string(8 << 20, 'x'), 413, "invalid_request"},
      {"no customer", "/v1/requests/fuel/order", "{}", 400, "invalid_request"},
      {"broken configuration", "/v1/configuration/check", R"({"rules":[)", 400, "invalid_request"},
      {"broken question", "/v1/explain", "{", 400, "invalid_request"},
      {"drain of an unknown VM", "/v1/vms/nobody/drain", "", 404, "not_found"},
      {"no such path", "/v1/nothing", "{}", 404, "not_found"},
  };
  for (const auto& row : rows) {
    for (int entry = 1; entry <= 2; ++entry) {
      const auto answer = cell.Ask(entry, "POST", row.path, row.body);
      INFO(row.name << ": " << ToText(answer));
      CHECK(answer.status == row.status);
      CHECK(answer.Kind() == row.kind);
      CHECK(answer.body.find(R"("outcome":"not_run")") != std::string::npos);
    }
  }
  CHECK(cell.Starts("") == 0);
}

// Two programs of a customer use the same id for different orders. Where the second got the answer
// of the first, its own order would never run and nobody would notice.
TEST_CASE("an id with another body is refused", "[truthful-not-run][at-most-once]") {
  cell cell{{.entries = 2}};
  const auto issued = UnixMs();
  REQUIRE(cell.Order(1, "order-1", issued, R"({"order":1})").get().outcome == "done");
  for (int entry = 1; entry <= 2; ++entry) {
    const auto other = cell.Order(entry, "order-1", issued, R"({"order":2})").get();
    INFO(ToText(other));
    CHECK(other.status == 409);
    CHECK(other.Kind() == "duplicate_mismatch");
  }
  CHECK(cell.Runs("order-1") == 1);
}

// Clients open connections and send their requests a byte now and then, or never end them. They
// must cost only themselves: other callers are answered meanwhile, and each slow connection is
// closed at the bound of the settings.
TEST_CASE("a slow client costs only itself", "[whole-answer]") {
  cell cell{{.entries = 2}};
  boost::asio::io_context io;
  std::vector<std::unique_ptr<tcp::socket>> slow;
  const auto address = cell.EntryAddress(1);
  const auto port = static_cast<std::uint16_t>(std::stoul(address.substr(address.find(':') + 1)));
  const std::vector<std::string> beginnings{
      "POST /v1/jobs HT",
      "POST /v1/jobs HTTP/1.1\r\nHost: a\r\nContent-Length: 100\r\n\r\n{\"customer\""};
  for (std::size_t number = 0; number < 60; ++number) {
    slow.push_back(std::make_unique<tcp::socket>(io));
    slow.back()->connect({boost::asio::ip::address_v4::loopback(), port});
    boost::asio::write(*slow.back(), boost::asio::buffer(beginnings[number % 2]));
  }
  for (int number = 0; number < 20; ++number) {
    CHECK(cell.Quote(1, R"({"litres":1})").get().outcome == "done");
  }
  for (const auto& socket : slow) {
    socket->non_blocking(true);
    cell.Until(
        "end of a slow connection",
        [&] {
          char byte = 0;
          boost::system::error_code failed;
          socket->write_some(boost::asio::buffer("a", 1), failed);
          socket->read_some(boost::asio::buffer(&byte, 1), failed);
          return failed && failed != boost::asio::error::would_block;
        },
        std::chrono::seconds{10});
  }
}

}  // namespace
}  // namespace rosearch::test
