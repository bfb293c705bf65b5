#ifndef ROSEARCH_TEST_PROCESS_CHILD_H_
#define ROSEARCH_TEST_PROCESS_CHILD_H_

#include <sys/types.h>

#include <optional>
#include <string>
#include <vector>

namespace rosearch::test {

/// One process that the test started. It never outlives the test program.
class child {
 public:
  /// @param command  the program's path and its arguments.
  /// @param log      the file that takes its standard error.
  child(const std::vector<std::string>& command, const std::string& log);
  ~child();
  child(const child&) = delete;
  child& operator=(const child&) = delete;

  void Signal(int number) const;
  /// Kills the process and waits until it is gone.
  void Kill();
  /// @return the exit code once it has ended; a signal's number counts from 128.
  [[nodiscard]] std::optional<int> ExitCode();
  /// @return whether it ended by itself otherwise than by a planned stop.
  [[nodiscard]] bool Crashed() { return !killed_ && ExitCode().value_or(0) != 0; }
  [[nodiscard]] const std::string& log() const noexcept { return log_; }

 private:
  std::string log_;
  pid_t pid_{-1};
  std::optional<int> exit_code_;
  bool killed_{false};
};

}  // namespace rosearch::test

#endif  // ROSEARCH_TEST_PROCESS_CHILD_H_
