#include <unistd.h>

#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <sstream>

#include "rosearch/cli/api_client.h"
#include "rosearch/cli/commands.h"
#include "rosearch/cli/job_options.h"
#include "rosearch/cli/job_progress.h"
#include "rosearch/cli/print.h"

namespace rosearch {
namespace {

/// An address where nothing listens: a command that got so far would end with `kExitNoAnswer`.
constexpr const char* kNobody = "127.0.0.1:1";

/// Takes what a stream is given while it lives.
class captured {
 public:
  explicit captured(std::ostream& stream) : stream_{stream}, before_{stream.rdbuf(text_.rdbuf())} {}
  ~captured() { stream_.rdbuf(before_); }
  captured(const captured&) = delete;
  captured& operator=(const captured&) = delete;

  [[nodiscard]] std::string text() const { return text_.str(); }

 private:
  std::ostringstream text_;
  std::ostream& stream_;
  std::streambuf* before_;
};

struct command_run {
  int code{0};
  std::string out;
  std::string errors;
};

command_run Run(const std::vector<std::string>& words) {
  const captured out{std::cout};
  const captured errors{std::cerr};
  const int code = RunCommand(words);
  return {code, out.text(), errors.text()};
}

/// A file that is gone after the test.
class temporary_file {
 public:
  explicit temporary_file(const std::string& text)
      : path_{std::filesystem::temp_directory_path() /
              ("rosearch_cli_test_" + std::to_string(getpid()) + '_' + std::to_string(++made))} {
    std::ofstream{path_} << text;
  }
  ~temporary_file() { std::filesystem::remove(path_); }
  temporary_file(const temporary_file&) = delete;
  temporary_file& operator=(const temporary_file&) = delete;

  [[nodiscard]] std::string path() const { return path_.string(); }

 private:
  static inline int made = 0;
  std::filesystem::path path_;
};

http_reply Refusal(const std::string& kind) {
  return {503, R"({"error":{"kind":")" + kind + R"(","outcome":"x","detail":"y"}})", {}};
}

}  // namespace

TEST_CASE("a wrong command line ends with the usage code and asks nobody") {
  const std::vector<std::vector<std::string>> lines{
      {},
      {"bogus"},
      {"check"},
      {"check", "--settings", "/nonexistent"},
      {"check", "--colour", "red"},
      {"publish", "--replaces", "1", "--entry", kNobody},
      {"publish", "/dev/null", "--entry", kNobody},
      {"publish", "/dev/null", "--replaces", "two"},
      {"publish", "/dev/null", "--replaces", "1", "--wait", "100000"},
      {"rules"},
      {"rules", "burn"},
      {"rules", "diff"},
      {"rules", "show", "more"},
      {"submit", "--entry", kNobody},
      {"submit", "--file", "/dev/null", "--customer", "calandria"},
      {"submit", "--customer", "calandria", "--at-once", "0"},
      {"submit", "--count", "many"},
      {"status"},
      {"status", "calandria", "--entry", kNobody},
      {"cancel", "calandria/a b", "--entry", kNobody},
      {"quota", "--output", "xml", "--entry", kNobody},
      {"vms", "unexpected", "--entry", kNobody},
      {"drain", "--entry", kNobody},
      {"serve"},
      {"serve", "--settings", "/dev/null"},
  };
  for (const auto& line : lines) {
    std::string shown;
    for (const auto& word : line) {
      shown += word + ' ';
    }
    CAPTURE(shown);
    const auto run = Run(line);
    CHECK(run.code == kExitUsage);
    CHECK_FALSE(run.errors.empty());
  }
}

TEST_CASE("every command shows an example on --help") {
  for (const auto* const name : {"serve", "check", "publish", "rules", "submit", "status", "cancel",
                                 "quota", "vms", "drain", "dump", "explain"}) {
    CAPTURE(name);
    const auto run = Run({name, "--help"});
    CHECK(run.code == kExitOk);
    CHECK(run.out.find(std::string{"Example: rosearch "} + name) != std::string::npos);
  }
}

TEST_CASE("faulty files are refused offline with every fault") {
  struct row {
    std::vector<std::string> words;
    std::string text;
    std::vector<std::string> faults;
  };
  const std::string needs = R"("needs": {"processors_milli": 1, "memory_mb": 1})";
  const std::vector<row> rows{
      {{"check", "--settings"},
       R"({"entry": {"name": ""}, "http": {"port": 99999}})",
       {"entry.name", "entry.region", "http.port: found 99999", "platform", "cell"}},
      {{"check", "--rules"},
       R"({"customers": [{"name": "a", "weight": 0}], "rules": [{"match": {"knd": "x"}}]})",
       {"customers[0].weight: found 0", "customers[0].quota", "rules[0].name", "match.knd"}},
      {{"check", "--rules"}, "{", {"document"}},
      {{"check", "--job"},
       R"({"customer": "a b", "job": 5, "size": 1})",
       {"customer", "job", "size"}},
      {{"publish", "--replaces", "1", "--entry", kNobody}, R"({"rules": 1})", {"rules"}},
      {{"rules", "--entry", kNobody, "diff"}, R"({"rules": 1})", {"rules"}},
      {{"explain", "--entry", kNobody, "--file"}, R"({"customer":)", {"document"}},
      {{"submit", "--entry", kNobody, "--lines"},
       R"({"customer": "c", "job": "a", )" + needs + "}\n\n{\n" +
           R"({"customer": "c", "job": "a", )" + needs + "}\n" + R"({"customer": "c", "job": "b"})",
       {":3: document", ":4: job: found a", ":5: needs", "nothing was submitted"}},
  };
  for (const auto& each : rows) {
    const temporary_file file{each.text};
    auto words = each.words;
    words.push_back(file.path());
    const auto run = Run(words);
    CAPTURE(each.text, run.errors);
    CHECK(run.code == kExitInvalid);
    for (const auto& fault : each.faults) {
      CHECK(run.errors.find(fault) != std::string::npos);
    }
  }
}

TEST_CASE("good files pass the offline check") {
  const temporary_file settings{
      R"({"entry": {"name": "entry-1", "region": "south", "failure_domain": "fd-1"},
          "platform": {"log": ["127.0.0.1:1"], "vm_list": "127.0.0.1:2"},
          "cell": {"regions": [{"name": "south", "shards": 4}]}})"};
  const temporary_file rules{
      R"({"customers": [{"name": "c", "quota": {"processors_milli": 1, "memory_mb": 1}}],
          "rules": [{"name": "all", "match": {"customer": "c"}, "treat": {}}]})"};
  const auto run = Run({"check", "--settings", settings.path(), "--rules", rules.path()});
  CAPTURE(run.out, run.errors);
  CHECK(run.code == kExitOk);
  CHECK(run.errors.empty());
}

TEST_CASE("a command that reaches no entry says so") {
  const auto run = Run({"quota", "--entry", kNobody, "--entry", kNobody});
  CHECK(run.code == kExitNoAnswer);
  CHECK(run.errors.find("target_unreachable") != std::string::npos);
}

// An entry's answer is lost after it took effect, and the command asks the next entry. A user would
// find the work done twice if that were asked again which isn't idempotent.
TEST_CASE("the next entry is asked only where that does no harm", "[at-most-once]") {
  struct row {
    result<http_reply> answer;
    bool if_idempotent;
    bool if_not;
  };
  const std::vector<row> rows{
      {error{error_kind::kTargetUnreachable, ""}, true, true},
      {error{error_kind::kTargetLost, ""}, true, false},
      {error{error_kind::kTimeout, ""}, true, false},
      {Refusal("not_ready"), true, true},
      {Refusal("no_owner"), true, true},
      {Refusal("log_unavailable"), true, false},
      {Refusal("version_conflict"), false, false},
      {Refusal("interrupted"), true, false},
      {Refusal("timeout"), true, false},
      {http_reply{500, "no JSON", {}}, false, false},
      {http_reply{200, "{}", {}}, false, false},
  };
  for (const auto& each : rows) {
    CAPTURE(&each - rows.data());
    CHECK(internal::WorthNextEntry(each.answer, true) == each.if_idempotent);
    CHECK(internal::WorthNextEntry(each.answer, false) == each.if_not);
  }
}

TEST_CASE("a job is whole only when every task ended done") {
  struct row {
    const char* job;
    job_progress progress;
  };
  const row rows[]{
      {R"({"kind":"batch","tasks":[{"state":"ended","outcome":"done"}]})", job_progress::kWhole},
      {R"({"kind":"batch","tasks":[{"state":"running"}]})", job_progress::kOpen},
      {R"({"kind":"service","tasks":[{"state":"running"}]})", job_progress::kWhole},
      {R"({"kind":"service","tasks":[{"state":"running"},{"state":"queued"}]})",
       job_progress::kOpen},
      {R"({"kind":"batch","tasks":[{"state":"ended","outcome":"not_run","kind":"cancelled"}]})",
       job_progress::kFailed},
      {R"({"kind":"batch","tasks":[{"state":"ended","outcome":"done","kind":"target_failed"}]})",
       job_progress::kFailed},
      {"{}", job_progress::kOpen},
  };
  for (const auto& each : rows) {
    CAPTURE(each.job);
    CHECK(ProgressOf(BodyOf(http_reply{200, each.job, {}})) == each.progress);
  }
}

}  // namespace rosearch
