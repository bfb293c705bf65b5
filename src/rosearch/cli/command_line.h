#ifndef ROSEARCH_CLI_COMMAND_LINE_H_
#define ROSEARCH_CLI_COMMAND_LINE_H_

#include <cstddef>
#include <cxxopts.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace rosearch {

/// How a command writes what it was told.
enum class output_format { kTable, kJson };

/// What every command that asks an entry takes.
struct client_options {
  std::vector<std::string> entries;  ///< host:port, tried in this order
  output_format output{output_format::kTable};

  friend bool operator==(const client_options&, const client_options&) = default;
};

/// The options of one command. Help, errors and the options that several commands share are the
/// same for all.
class command_line {
 public:
  /// @param name     of the command.
  /// @param about    one sentence.
  /// @param example  one whole command line.
  command_line(const std::string& name, const std::string& about, const std::string& example);

  /// Adds --entry and --output.
  command_line& AsksEntries();
  /// Adds one option; without a value it is a flag.
  command_line& Option(const std::string& name, const std::string& help,
                       const std::shared_ptr<cxxopts::Value>& value = cxxopts::value<bool>());
  /// Gives the words that are no options to `name`, which takes a list.
  command_line& Words(const std::string& name, const std::string& help);

  /// Parses and runs.
  /// @param body  gets the parsed options; may throw `cxxopts::exceptions::exception`.
  /// @return what `body` returns, `kExitOk` after --help, `kExitUsage` where the line is wrong.
  [[nodiscard]] int Run(const std::vector<std::string>& words,
                        const std::function<int(const cxxopts::ParseResult&)>& body);

 private:
  cxxopts::Options options_;
};

/// @return what was given for --entry and --output.
/// @throws cxxopts::exceptions::exception where --output names no format.
[[nodiscard]] client_options ClientOptions(const cxxopts::ParseResult& parsed);

/// Reports a wrong command line: `command_line::Run` prints it and ends with `kExitUsage`.
[[noreturn]] void FailUsage(const std::string& what);

/// @return the words that `command_line::Words` collected.
/// @throws cxxopts::exceptions::exception where there are fewer than `least`.
[[nodiscard]] std::vector<std::string> WordsOf(const cxxopts::ParseResult& parsed,
                                               const std::string& name, std::size_t least);

/// @param path  a file, or - for the standard input.
/// @return its text.
/// @throws cxxopts::exceptions::exception where it can't be read.
[[nodiscard]] std::string ReadFile(const std::string& path);

}  // namespace rosearch

#endif  // ROSEARCH_CLI_COMMAND_LINE_H_
