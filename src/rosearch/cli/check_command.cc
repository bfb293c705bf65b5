#include <iostream>

#include "rosearch/api/job_document.h"
#include "rosearch/cli/command_line.h"
#include "rosearch/cli/commands.h"
#include "rosearch/cli/print.h"
#include "rosearch/config/configuration.h"
#include "rosearch/config/settings.h"

namespace rosearch {
namespace {

using config::fault;

/// One kind of file that can be checked without an entry.
struct checked_kind {
  const char* option;
  const char* help;
  std::vector<fault> (*check)(const std::string& text);
};

constexpr checked_kind kKinds[] = {
    {"settings", "settings file of an entry",
     [](const std::string& text) { return config::ParseSettings(text).faults; }},
    {"rules", "customers, rules and limits as `publish` takes them",
     [](const std::string& text) { return config::ParseConfiguration(text).faults; }},
    {"job", "a job as `submit` takes it",
     [](const std::string& text) { return ParseJob(text).faults; }},
};

int Check(const cxxopts::ParseResult& parsed) {
  const auto format = ClientOptions(parsed).output;
  std::size_t files = 0;
  bool refused = false;
  for (const auto& kind : kKinds) {
    for (const auto& path : WordsOf(parsed, kind.option, 0)) {
      ++files;
      const auto faults = kind.check(ReadFile(path));
      PrintFaults(path, faults, format);
      refused = refused || config::HasError(faults);
      if (faults.empty() && format == output_format::kTable) {
        std::cout << path << ": no faults\n";
      }
    }
  }
  if (files == 0) {
    FailUsage("name a file by --settings, --rules or --job");
  }
  return refused ? kExitInvalid : kExitOk;
}

int RunCheck(const std::vector<std::string>& words) {
  command_line line{"check", "Checks files without asking an entry; lists every fault at once.",
                    "check --settings entry.json --rules rules.json"};
  for (const auto& kind : kKinds) {
    line.Option(kind.option, kind.help, cxxopts::value<std::vector<std::string>>());
  }
  return line.AsksEntries().Run(words, Check);
}

const command_registrar kCheck{{"check", "check files offline", RunCheck}};

}  // namespace
}  // namespace rosearch
