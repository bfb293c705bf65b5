#include <atomic>
#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <csignal>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "process/cell.h"

namespace rosearch::test {
namespace {

// Entries are replaced on ordinary days: each gets SIGTERM under load, and another takes its work
// over. A request that was sent and stays without a whole answer is an outage for its caller; a
// task that is started again ran in two places.
TEST_CASE("an entry that stops under load answers all that it took", "[graceful-stop]") {
  cell cell;
  REQUIRE(cell.Submit(1, "running", 12, 6000).status == 202);
  cell.Until("running tasks", [&] { return cell.Running() == 12; });
  std::atomic<bool> over{false};
  std::atomic<int> answered{0};
  std::atomic<bool> restarting{false};  // Entry 2 is out of the balancer meanwhile.
  std::mutex mutex;
  std::vector<std::string> broken;
  constexpr int kCallers = 12;
  std::vector<std::thread> callers;
  callers.reserve(kCallers);
  for (int caller = 0; caller < kCallers; ++caller) {
    callers.emplace_back([&, caller] {
      for (int number = 0; !over; ++number) {
        const int entry = 1 + (caller + number) % 3;
        if (entry == 2 && restarting) {
          continue;
        }
        const auto body = R"({"run_ms":)" + std::to_string(caller % 3 == 0 ? 300 : 5) +
                          R"(,"caller":)" + std::to_string(caller) + R"(,"number":)" +
                          std::to_string(number) + '}';
        const auto answer =
            caller % 2 == 0
                ? cell.Quote(entry, body).get()
                : cell.Order(entry,
                             "order-" + std::to_string(caller) + '-' + std::to_string(number),
                             UnixMs(), body)
                      .get();
        if (answer.failure == "target_unreachable") {
          continue;  // Nothing was sent: the entry no longer accepts.
        }
        const auto shape = answer.Json();
        const bool whole = answer.status == 200 && answer.outcome == "done" && shape.is_object() &&
                           shape.at("body").as_string() == body;
        ++answered;
        if (!whole) {
          const std::scoped_lock lock{mutex};
          broken.push_back("entry-" + std::to_string(entry) + ' ' + body + " -> " + ToText(answer));
        }
      }
    });
  }
  for (const int stopped : {2, 3}) {
    const int before = answered;
    cell.Until("load", [&] { return answered >= before + 100; });
    cell.Entry(stopped).Signal(SIGTERM);
    cell.Until("exit", [&] { return cell.Entry(stopped).ExitCode().has_value(); });
    CHECK(cell.Entry(stopped).ExitCode() == 0);
    if (stopped == 2) {
      restarting = true;
      cell.StartEntry(stopped);
      cell.Until("ready entry", [&] { return cell.Ready(stopped); });
      restarting = false;
    }
  }
  cell.UntilServed();
  const int before = answered;
  cell.Until("load afterwards", [&] { return answered >= before + 100; });
  over = true;
  for (auto& caller : callers) {
    caller.join();
  }
  std::string all;
  for (const auto& line : broken) {
    all += line + '\n';
  }
  INFO(answered << " answers, broken:\n" << all);
  CHECK(broken.empty());
  cell.Until("end of the job", [&] { return cell.JobEnded(1, "running", 12); });
  CHECK(cell.Outcomes(1, "running", "done") == 12);
  CHECK(cell.Starts("calandria/running#") == 12);
  cell.CheckWorkers();
}

// A caller with a slow line has sent half of its request when the entry is told to stop. It was
// accepted, so it is answered: a caller that loses its connection there can't tell what ran.
TEST_CASE("a request half sent before a stop is answered", "[graceful-stop][whole-answer]") {
  cell cell;
  boost::asio::io_context io;
  boost::asio::ip::tcp::socket socket{io};
  const auto address = cell.EntryAddress(2);
  const auto port = static_cast<std::uint16_t>(std::stoul(address.substr(address.find(':') + 1)));
  socket.connect({boost::asio::ip::address_v4::loopback(), port});
  const std::string half =
      "POST /v1/requests/fuel/quote HTTP/1.1\r\nHost: a\r\nRosearch-Customer: calandria\r\n"
      "Rosearch-Label: quote\r\nContent-Length: 12\r\n\r\n{\"lit";
  boost::asio::write(socket, boost::asio::buffer(half));
  cell.Entry(2).Signal(SIGTERM);
  cell.Until("end of accepting",
             [&] { return cell.Ask(2, "GET", "/healthz").failure == "target_unreachable"; });
  boost::system::error_code failed;
  boost::asio::write(socket, boost::asio::buffer(std::string{"res\":1}"}), failed);
  std::string answer;
  boost::asio::read(socket, boost::asio::dynamic_buffer(answer), failed);
  INFO(answer << ' ' << failed.message());
  CHECK(answer.starts_with("HTTP/1.1 200"));
  CHECK(answer.find("litres") != std::string::npos);
  cell.Until("exit", [&] { return cell.Entry(2).ExitCode().has_value(); });
  CHECK(cell.Entry(2).ExitCode() == 0);
}

}  // namespace
}  // namespace rosearch::test
