#include <boost/asio/io_context.hpp>
#include <boost/beast/core/detail/base64.hpp>
#include <catch2/catch.hpp>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "platform/platform_ports.h"
#include "rosearch/cell/leader.h"
#include "rosearch/net/http_server.h"

namespace rosearch::platform {
namespace {

using std::chrono::milliseconds;

constexpr std::string_view kJob =
    R"({"spec":"x","steps":[{"count":1,"cpu":1,"mem-mb":1,"estimate-ms":900}]})";

std::string BigEndian(std::size_t value, int bytes) {
  std::string text;
  for (int at = bytes - 1; at >= 0; --at) {
    text.push_back(static_cast<char>((value >> (8 * at)) & 0xFF));
  }
  return text;
}

std::string Base64(const std::string& text) {
  namespace base64 = boost::beast::detail::base64;
  std::string out(base64::encoded_size(text.size()), '\0');
  out.resize(base64::encode(out.data(), text.data(), text.size()));
  return out;
}

/// Counts lines by event.
class line_counter final : public event_sink {
 public:
  void Write(const event_line& line) override { lines.push_back(line.text()); }
  [[nodiscard]] std::size_t Count(const std::string& begin) const {
    return static_cast<std::size_t>(std::ranges::count_if(
        lines, [&](const auto& line) { return line.starts_with("event=" + begin); }));
  }
  std::vector<std::string> lines;
};

/// A leader beside a store and a worker that speak the platform's bytes over real connections.
class odd_platform {
 public:
  explicit odd_platform(std::vector<std::pair<std::string, std::string>> odd_entries = {})
      : odd{std::move(odd_entries)} {
    const auto address = "127.0.0.1:" + std::to_string(worker.port());
    good = R"({"service":"s","address":")" + address +
           R"(","zone":"z","state":"ready","capacity":{"cpu":16000,"mem-mb":32768,"gpu":0},)"
           R"("labels":["a","r1"],"sequence":4})";
    cell::leader_hooks hooks{[] { return duration{}; }, [this] { ended = true; }};
    leading = std::make_shared<cell::leader<platform_ports>>(io, ports, cell::leader_settings{}, 1,
                                                             log, metrics, std::move(hooks));
    leading->Begin(SteadyNow());
    RunUntil([this] { return log.Count("worker_live worker=good ") > 0; });
  }
  ~odd_platform() {
    leading->End("test over");
    io.restart();
    io.run_for(milliseconds{10});
  }
  odd_platform(const odd_platform&) = delete;
  odd_platform& operator=(const odd_platform&) = delete;

  template <typename Condition>
  bool RunUntil(Condition condition) {
    for (int wait = 0; wait < 400 && !condition(); ++wait) {
      io.restart();
      io.run_for(milliseconds{10});
    }
    return condition();
  }
  /// Submits a job until it isn't refused, as its caller would.
  /// @return whether its task was started.
  bool RunsJob(const std::string& id) {
    unsigned status = 503;
    return RunUntil([&] {
      if (status == 429 || status == 503) {
        status = 0;
        leading->Handle({"POST", "h", "/l/" + id, std::string{kJob}}, milliseconds{2'000},
                        [&](const cell::caller_answer& answer) { status = answer.status; });
      }
      return status == 200 && started.ends_with(id + ".0.0.0");
    });
  }

  boost::asio::io_context io;
  std::vector<std::pair<std::string, std::string>> odd;  ///< in the first read of the registry
  std::vector<std::string> changes;                      ///< raw records of the later reads
  std::string reported{R"("running":[],"ended-runs":[])"};
  std::string started;  ///< names of the started tasks
  std::string good;
  bool ended{false};
  line_counter log;
  metric_set metrics;
  http_server store{io, {}, [this](const http_call& call, const http_respond& respond) {
                      respond(ServeStore(call));
                    }};
  http_server worker{io, {}, [this](const http_call& call, const http_respond& respond) {
                       respond(ServeWorker(call));
                     }};
  http_client http{io};
  cell::peer_link peers{io, "127.0.0.1:0", 7, [](const wire::peer_frame&) {}};
  cell::relayed_client client{io, http, peers};
  platform_ports ports{io, client, "127.0.0.1:" + std::to_string(store.port()), "", metrics};
  std::shared_ptr<cell::leader<platform_ports>> leading;

 private:
  http_response ServeStore(const http_call& call) {
    const auto topic = call.query.contains("topic") ? call.query.at("topic") : "";
    if (call.path == "/log-append") {
      return {200, R"({"offset":0,"end":1})"};
    }
    if (call.path == "/log-read") {
      std::string body = BigEndian(1, 8) + BigEndian(0, 8);
      constexpr int kRecordsPerRead = 8;
      for (int read = 0; read < kRecordsPerRead && topic == "keyed.servers" && !changes.empty();
           ++read) {
        body += BigEndian(changes.front().size(), 4) + changes.front();
        changes.erase(changes.begin());
      }
      return {200, body, "application/octet-stream"};
    }
    return {200, ServeNewest(topic, call.query.contains("depends-on"))};
  }
  /// Two pages where there are odd entries: the good worker is on the second.
  std::string ServeNewest(const std::string& topic, bool second) {
    if (topic == "keyed.op") {
      return R"({"items":[{"key":"config","value":")" +
             Base64(
                 R"({"version":1,"routes":[{"name":"r","host":"h","path-prefix":"/l/",)"
                 R"("service":"s","target-latency-ms":250,"max-attempts":2}],"services":[{"name":"s"}]})") +
             R"("}],"has-more":false,"end":1})";
    }
    if (topic != "keyed.servers") {
      return R"({"items":[],"has-more":false,"end":0})";
    }
    std::string items;
    if (!odd.empty() && !second) {
      for (const auto& [key, value] : odd) {
        items += R"({"key":")" + key + R"(","value":")" + Base64(value) + R"("},)";
      }
      items.pop_back();
      return R"({"items":[)" + items + R"(],"has-more":true,"end":9})";
    }
    return R"({"items":[{"key":"good","value":")" + Base64(good) +
           R"("}],"has-more":false,"end":9})";
  }
  http_response ServeWorker(const http_call& call) {
    if (call.path == "/run-start") {
      const auto begin = call.body.find(R"("task":")") + 8;
      started += ' ' + call.body.substr(begin, call.body.find('"', begin) - begin);
    }
    return {200, R"({"clock-ms":5000,)" + reported + '}'};
  }
};

std::string Keyed(const std::string& key, const std::string& value) {
  return BigEndian(key.size(), 1) + key + value;
}

std::string Entry(const std::string& port, const std::string& processors) {
  return R"({"service":"s","address":"127.0.0.1:)" + port +
         R"(","state":"ready","capacity":{"cpu":)" + processors + R"(,"mem-mb":1},"labels":[]})";
}

/// Entries of the registry as another writer may leave them.
std::vector<std::string> OddValues() {
  const std::string begin = R"({"service":"s","address":"127.0.0.1:1","state":"ready",)"
                            R"("capacity":{"cpu":1,"mem-mb":1},"labels":[],)";
  return {std::string(200'000, '['),
          R"({"a":)" + std::string(100'000, '[') + std::string(100'000, ']') + "}",
          std::string(5'000, '{'),
          begin + R"("remaining-ms":"1"})",
          begin + R"("born":4102444799999})",
          begin + R"("born":18446744073709551616})",
          begin + R"("born":-9223372036854775809})",
          Entry("65536", "1"),
          Entry("-1", "1"),
          Entry("99999999999999999999", "1"),
          Entry("1", "1e308"),
          Entry("1", "18446744073709551615"),
          std::string{"\0\xff\xfe", 3},
          "null",
          "1e999"};
}

}  // namespace

// Another writer leaves an odd entry in the registry: the leader that reads the list ends, or stops
// following it, and no worker gets work.
TEST_CASE("odd entries of the registry don't keep a new leader from its workers", "[odd-entries]") {
  std::vector<std::pair<std::string, std::string>> odd;
  for (const auto& value : OddValues()) {
    odd.emplace_back("odd" + std::to_string(odd.size()), value);
  }
  odd_platform cell{odd};
  REQUIRE(cell.leading->Serving());
  CHECK(cell.log.Count("worker_record_unusable") == odd.size());
  CHECK(cell.log.Count("worker_found") == 1);
  CHECK(cell.RunsJob("0123456789abcdef"));
  CHECK(cell.leading->Dump().find("good") != std::string::npos);
  CHECK_FALSE(cell.ended);
}

// As above, with the bytes of a read of the log in place of the newest entries: also records whose
// key is longer than the record, or no text, which would make the leader's own record of its
// workers unreadable for the next leader.
TEST_CASE("odd records in the registry's log don't stop the leader from following it",
          "[odd-entries]") {
  odd_platform cell;
  REQUIRE(cell.leading->Serving());
  for (const auto& value : OddValues()) {
    cell.changes.push_back(Keyed("odd", value));
  }
  cell.changes.emplace_back(
      "\xff"
      "short");
  cell.changes.push_back(Keyed("", cell.good));
  cell.changes.push_back(Keyed("\xff\xfe", cell.good));
  cell.changes.push_back(Keyed("a\r\nX: y", cell.good));
  cell.changes.push_back(Keyed("second", cell.good));
  REQUIRE(cell.RunUntil([&] { return cell.log.Count("worker_live worker=second ") > 0; }));
  CHECK(cell.log.Count("worker_found") == 2);
  CHECK(cell.RunsJob("0123456789abcdef"));
  CHECK_FALSE(cell.ended);
}

// A worker lists one odd row: the leader never hears of that worker again, without a line in any
// log.
TEST_CASE("an odd row in a report doesn't end the watches of its worker", "[odd-entries]") {
  const auto* const row = GENERATE(
      R"("running":[],"ended-runs":[[1.5,"x.0.0.0",1,"done",""]])",
      R"("running":[],"ended-runs":[[-1,"x.0.0.0",1,"done",""]])",
      R"("running":[],"ended-runs":[[1e300,"x.0.0.0",1,"done",""]])",
      R"("running":[],"ended-runs":[[8999999999999999,"x.0.0.0",1,"done",""]])",
      R"("running":[],"ended-runs":[[1,"x.0.0.0",1.5,"done",""]])",
      R"("running":[],"ended-runs":[[2,"x.0.0.0",1e99,"done",""],[3,5,1,"odd",""],7,[]])",
      R"("running":[["x.0.0.0",-1,"",0,0],["x.0.0.1",1e300,"",1e300,-1],[5,1,"",0],3],"ended-runs":3)",
      R"("running":{},"ended-runs":[],"born":1e400)",
      R"("running":[],"ended-runs":[[18446744073709551616,"x.0.0.0",1,"done",""]],"clock-ms":-3)");
  odd_platform cell;
  REQUIRE(cell.leading->Serving());
  cell.reported = row;
  REQUIRE(cell.RunUntil([&] { return cell.log.Count("report_unreadable worker=good ") > 0; }));
  cell.reported = R"("running":[],"ended-runs":[])";
  CHECK(cell.RunsJob("0123456789abcdef"));
  CHECK_FALSE(cell.ended);
}

// A worker that leaves with an odd time left is kept in use, and starts are refused there.
TEST_CASE("a departure with an unreadable time left counts as one at once", "[odd-entries]") {
  const auto left = GENERATE(std::string{"1e999"}, std::string{"1e16"}, std::string(5'000, '9'),
                             std::string{"-1"});
  const auto read =
      DecodeWorker("w", R"({"service":"s","address":"127.0.0.1:1","state":"draining",)"
                        R"("capacity":{"cpu":1,"mem-mb":1},"labels":[],"remaining-ms":)" +
                            left + '}');
  REQUIRE(read.has_value());
  CHECK(read.value().draining);
  CHECK(read.value().min_time_left == duration{});
}

}  // namespace rosearch::platform
