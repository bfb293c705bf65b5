#include "rosearch/cli/commands.h"

#include <algorithm>
#include <iostream>
#include <map>
#include <utility>

namespace rosearch {
namespace {

std::map<std::string, command>& Commands() {
  static std::map<std::string, command> commands;
  return commands;
}

void PrintHelp(std::ostream& out) {
  out << "usage: rosearch COMMAND [options]; rosearch COMMAND --help tells more\n";
  for (const auto& [name, item] : Commands()) {
    out << "  " << name << std::string(12 - std::min<std::size_t>(name.size(), 11), ' ')
        << item.about << '\n';
  }
}

}  // namespace

command_registrar::command_registrar(command made) {
  const auto name = made.name;
  Commands().emplace(name, std::move(made));
}

int RunCommand(const std::vector<std::string>& words) {
  if (words.empty() || words.front() == "--help" || words.front() == "help") {
    PrintHelp(words.empty() ? std::cerr : std::cout);
    return words.empty() ? kExitUsage : kExitOk;
  }
  const auto found = Commands().find(words.front());
  if (found == Commands().end()) {
    std::cerr << "unknown command: " << words.front() << '\n';
    PrintHelp(std::cerr);
    return kExitUsage;
  }
  return found->second.run({words.begin() + 1, words.end()});
}

}  // namespace rosearch
