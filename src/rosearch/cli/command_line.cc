#include "rosearch/cli/command_line.h"

#include <fstream>
#include <iostream>
#include <iterator>

#include "rosearch/cli/commands.h"

namespace rosearch {
namespace {

constexpr const char* kDefaultEntry = "127.0.0.1:8080";

}  // namespace

command_line::command_line(const std::string& name, const std::string& about,
                           const std::string& example)
    : options_{"rosearch " + name, about + "\n\nExample: rosearch " + example + "\n"} {
  options_.add_options()("help", "show this text");
}

command_line& command_line::AsksEntries() {
  Option("entry", "entry to ask, host:port; repeat it to name others that are tried next",
         cxxopts::value<std::vector<std::string>>()->default_value(kDefaultEntry));
  return Option("output", "table or json", cxxopts::value<std::string>()->default_value("table"));
}

command_line& command_line::Option(const std::string& name, const std::string& help,
                                   const std::shared_ptr<cxxopts::Value>& value) {
  options_.add_options()(name, help, value);
  return *this;
}

command_line& command_line::Words(const std::string& name, const std::string& help) {
  Option(name, help, cxxopts::value<std::vector<std::string>>());
  options_.parse_positional({name});
  options_.positional_help(name + "...");
  return *this;
}

int command_line::Run(const std::vector<std::string>& words,
                      const std::function<int(const cxxopts::ParseResult&)>& body) {
  std::vector<const char*> argv{"rosearch"};
  for (const auto& word : words) {
    argv.push_back(word.c_str());
  }
  try {
    const auto parsed = options_.parse(static_cast<int>(argv.size()), argv.data());
    if (parsed.count("help") > 0) {
      std::cout << options_.help();
      return kExitOk;
    }
    if (!parsed.unmatched().empty()) {
      FailUsage("unexpected word: " + parsed.unmatched().front());
    }
    return body(parsed);
  } catch (const cxxopts::exceptions::exception& wrong) {
    std::cerr << wrong.what() << '\n' << options_.help();
    return kExitUsage;
  }
}

client_options ClientOptions(const cxxopts::ParseResult& parsed) {
  const auto output = parsed["output"].as<std::string>();
  if (output != "table" && output != "json") {
    FailUsage("--output: table or json, found " + output);
  }
  return {parsed["entry"].as<std::vector<std::string>>(),
          output == "json" ? output_format::kJson : output_format::kTable};
}

void FailUsage(const std::string& what) { throw cxxopts::exceptions::exception{what}; }

std::vector<std::string> WordsOf(const cxxopts::ParseResult& parsed, const std::string& name,
                                 std::size_t least) {
  std::vector<std::string> words;
  if (parsed.count(name) > 0) {
    words = parsed[name].as<std::vector<std::string>>();
  }
  if (words.size() < least) {
    FailUsage("missing: " + name);
  }
  return words;
}

std::string ReadFile(const std::string& path) {
  if (path == "-") {
    return {std::istreambuf_iterator<char>{std::cin}, {}};
  }
  std::ifstream file{path};
  std::string text{std::istreambuf_iterator<char>{file}, {}};
  if (!file.is_open() || file.bad()) {
    FailUsage("can't read " + path);
  }
  return text;
}

}  // namespace rosearch
