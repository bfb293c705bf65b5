#ifndef ROSEARCH_CLI_COMMANDS_H_
#define ROSEARCH_CLI_COMMANDS_H_

#include <string>
#include <vector>

namespace rosearch {

/// Exit codes of every subcommand; docs/OPERATIONS.md lists them.
enum exit_code : int {
  kExitOk = 0,
  kExitFailed = 1,   ///< the answer was an error, or some work did not end well
  kExitUsage = 2,    ///< the command line is wrong
  kExitInvalid = 5,  ///< a file has faults
  kExitNoAnswer = 6  ///< no entry could be reached
};

/// Runs one subcommand.
/// @param words  the command line without the program's name.
/// @return the exit code of the process.
[[nodiscard]] int RunCommand(const std::vector<std::string>& words);

/// One subcommand, as its file registers it.
struct command {
  std::string name;
  std::string about;
  int (*run)(const std::vector<std::string>& words){nullptr};

  friend bool operator==(const command&, const command&) = default;
};

/// Registers a subcommand before `main` begins.
class command_registrar {
 public:
  explicit command_registrar(command made);
};

}  // namespace rosearch

#endif  // ROSEARCH_CLI_COMMANDS_H_
