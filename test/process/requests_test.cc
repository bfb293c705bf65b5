#include <boost/json/serialize.hpp>
#include <catch2/catch.hpp>
#include <csignal>
#include <future>
#include <string>
#include <vector>

#include "process/cell.h"

namespace rosearch::test {
namespace {

// A caller that gets no answer in time sends its order again, through another entry of the
// balancer, while the first copy is still at the executor. A second run would deliver and bill the
// order twice; two different answers would leave the caller with either.
TEST_CASE("an order repeated at all entries at once runs once", "[at-most-once][single-run]") {
  cell cell;
  const auto issued = UnixMs();
  std::vector<std::future<reply>> answers;
  answers.reserve(10);
  for (int copy = 0; copy < 10; ++copy) {
    answers.push_back(cell.Order(1 + copy % 3, "order-1", issued, R"({"run_ms": 300})"));
  }
  const auto first = answers.front().get();
  INFO(ToText(first));
  CHECK(first.status == 200);
  CHECK(first.outcome == "done");
  for (std::size_t copy = 1; copy < answers.size(); ++copy) {
    const auto other = answers[copy].get();
    INFO(ToText(other));
    CHECK(other.body == first.body);
    CHECK(other.outcome == first.outcome);
  }
  CHECK(cell.Runs("order-1") == 1);
}

struct lost_owner {
  const char* name;
  int signal;
  bool asked_directly;  ///< whether the first copy was sent to the owner's own port
};

// The entry that keeps an order's id dies or freezes while the executor works on the order, and the
// caller sends the order again elsewhere. The successor doesn't know whether it ran: it may say so,
// but a "not run" would make the caller order anew, and a second run would bill twice.
TEST_CASE("an order survives the loss of the entry that keeps it",
          "[at-most-once][truthful-not-run]") {
  cell cell;
  const std::vector<lost_owner> rows{
      {"killed", SIGKILL, false}, {"killed-direct", SIGKILL, true}, {"frozen", SIGSTOP, false}};
  for (const auto& row : rows) {
    INFO(row.name);
    cell.UntilWitnessed();
    const std::string id = std::string{"order-"} + row.name;
    const auto home = cell.Home(id);
    const int owner = cell.SettledOwner(home);
    const int other = owner % 3 + 1;
    const auto issued = UnixMs();
    auto first = cell.Order(row.asked_directly ? owner : other, id, issued, R"({"run_ms": 2500})");
    cell.Until("run of the order", [&] { return cell.Runs(id) == 1; });
    if (row.signal == SIGKILL) {
      cell.Lose(owner);
    } else {
      cell.Freeze(owner);
    }
    const auto again = cell.Order(other, id, issued, R"({"run_ms": 2500})").get();
    INFO("again: " << ToText(again));
    CHECK((again.outcome == "done" || again.outcome == "unknown"));
    const auto told = first.get();
    INFO("first: " << ToText(told));
    if (!row.asked_directly) {
      CHECK((told.outcome == "done" || told.outcome == "unknown"));
    }
    cell.Until("another owner", [&] {
      const int now = cell.Owner(home);
      return now != 0 && now != owner;
    });
    const auto third = cell.Order(other, id, issued, R"({"run_ms": 2500})").get();
    INFO("third: " << ToText(third));
    CHECK((third.outcome == "done" || third.outcome == "unknown"));
    if (row.signal == SIGKILL) {
      cell.StartEntry(owner);
    } else {
      cell.Thaw(owner);
    }
    cell.Until("ready entry", [&] { return cell.Ready(owner); });
    const auto fourth = cell.Order(owner, id, issued, R"({"run_ms": 2500})").get();
    INFO("fourth: " << ToText(fourth));
    CHECK((fourth.outcome == "done" || fourth.outcome == "unknown"));
    CHECK(cell.Runs(id) == 1);
  }
}

// Callers and executors agree on what a body is, and it need not be text. An entry that can't pass
// it on to another leaves the caller waiting until its deadline.
TEST_CASE("a body of any bytes arrives as it is", "[whole-answer]") {
  cell cell;
  const std::string bytes{"\xff\xfe price \x80\x81", 11};
  for (int entry = 1; entry <= 3; ++entry) {
    const auto quote = cell.Quote(entry, bytes).get();
    INFO("quote at entry-" << entry << ": " << ToText(quote));
    CHECK(quote.outcome == "done");
    CHECK(quote.body.find(bytes) != std::string::npos);
    const auto id = "order-" + std::to_string(entry);
    const auto order = cell.Order(entry, id, UnixMs(), bytes).get();
    INFO("order at entry-" << entry << ": " << ToText(order));
    CHECK(order.outcome == "done");
    CHECK(order.body.find(bytes) != std::string::npos);
  }
}

struct answer_fault {
  const char* name;
  const char* fault;
};

// Executors answer in pieces, after an interim answer, late or slowly, or break off midway. An
// answer cut short or given to the wrong caller quotes one customer's price to another.
TEST_CASE("each caller gets its own answer whole", "[whole-answer]") {
  cell cell;
  const std::vector<answer_fault> rows{{"chunked and late", R"({"chunked":true,"late_ms":200})"},
                                       {"interim answer", R"({"interim":true})"},
                                       {"slow", R"({"slow_ms":150})"},
                                       {"one cut", R"({"cut_answers":1})"},
                                       {"one lost", R"({"lose_answers":1})"},
                                       {"two ways at once", R"({"slow_ms":50,"chunked":true})"}};
  for (const auto& row : rows) {
    INFO(row.name);
    for (int number = 1; number <= cell.shape().executors; ++number) {
      cell.Fault("executors", row.fault, number);
    }
    std::vector<std::pair<std::string, std::future<reply>>> open;
    for (int caller = 0; caller < 48; ++caller) {
      const std::string filler(static_cast<std::size_t>(caller) * 97, 'x');
      const auto body =
          R"({"caller":)" + std::to_string(caller) + R"(,"filler":")" + filler + R"("})";
      open.emplace_back(body, cell.Quote(1 + caller % 3, body));
    }
    for (auto& [body, future] : open) {
      const auto answer = future.get();
      INFO(ToText(answer));
      CHECK(answer.status == 200);
      CHECK(answer.outcome == "done");
      const auto shape = answer.Json();
      CHECK((shape.is_object() && shape.at("body").as_string() == body));
    }
  }
}

}  // namespace
}  // namespace rosearch::test
