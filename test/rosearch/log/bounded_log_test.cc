#include "rosearch/log/bounded_log.h"

#include <fcntl.h>
#include <unistd.h>

#include <array>
#include <catch2/catch.hpp>
#include <chrono>
#include <string>

namespace rosearch {
namespace {

/// A pipe that is read only by `ReadAll`.
class pipe_pair {
 public:
  pipe_pair() { REQUIRE(pipe(ends_.data()) == 0); }
  ~pipe_pair() {
    close(ends_[0]);
    close(ends_[1]);
  }
  pipe_pair(const pipe_pair&) = delete;
  pipe_pair& operator=(const pipe_pair&) = delete;

  [[nodiscard]] int writer() const { return ends_[1]; }
  std::string ReadAll() {
    (void)fcntl(ends_[0], F_SETFL, O_NONBLOCK);
    std::string text;
    std::array<char, 4096> part{};
    for (auto count = read(ends_[0], part.data(), part.size()); count > 0;
         count = read(ends_[0], part.data(), part.size())) {
      text.append(part.data(), static_cast<std::size_t>(count));
    }
    return text;
  }

 private:
  std::array<int, 2> ends_{};
};

}  // namespace

TEST_CASE("a line has its event name, its key=value pairs and no spaces inside values") {
  pipe_pair ends;
  bounded_log log{{ends.writer()}};
  log.Write(event_line{"job_refused", event_weight::kFailure}.Add("job", "a b").Add("n", 3));
  log.Flush();
  const auto text = ends.ReadAll();
  CHECK(text.find("event=job_refused job=a_b n=3\n") != std::string::npos);
}

// Guards against blocking writes: nobody reads the output, and a process that blocked on it would
// stop in the middle of a decision and no longer answer its callers.
TEST_CASE("a stalled reader never blocks the writer") {
  pipe_pair ends;
  bounded_log_settings settings{ends.writer()};
  settings.max_other_lines_per_second = 1'000'000;
  bounded_log log{settings};
  const auto before = std::chrono::steady_clock::now();
  for (int at = 0; at < 20'000; ++at) {
    log.Write(event_line{"worker_silent", event_weight::kStateChange}.Add("worker", at));
  }
  log.Flush();
  CHECK(std::chrono::steady_clock::now() - before < std::chrono::seconds{5});
  CHECK(log.DroppedLines() > 0);
}

TEST_CASE("a flood of ordinary lines leaves room for failures, and is counted") {
  pipe_pair ends;
  bounded_log_settings settings{ends.writer()};
  settings.max_detail_lines_per_second = 10;
  bounded_log log{settings};
  for (int at = 0; at < 100; ++at) {
    log.Write(event_line{"run_ordered", event_weight::kDetail}.Add("n", at));
  }
  log.Write(event_line{"job_accepted"}.Add("job", "a"));
  log.Write(event_line{"job_refused", event_weight::kFailure});
  log.Flush();
  const auto text = ends.ReadAll();
  CHECK(text.find("n=9\n") != std::string::npos);
  CHECK(text.find("n=10\n") == std::string::npos);
  CHECK(text.find("job_accepted") != std::string::npos);
  CHECK(text.find("job_refused") != std::string::npos);
  CHECK(log.DroppedLines() == 90);
}

}  // namespace rosearch
