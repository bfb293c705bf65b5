#include <boost/uuid/name_generator_sha1.hpp>
#include <boost/uuid/uuid_io.hpp>
#include <chrono>
#include <iostream>

#include "rosearch/cli/api_client.h"
#include "rosearch/cli/command_line.h"
#include "rosearch/cli/commands.h"
#include "rosearch/cli/print.h"
#include "rosearch/config/configuration.h"

namespace rosearch {
namespace {

constexpr std::uint32_t kDefaultWaitS = 15;
constexpr std::uint32_t kLongestWaitS = 3600;

/// Operators repeat a command whose answer was lost. With an id made anew each time, the second try
/// would be told that it lost against the first; made of what is published, it is the same change.
std::string DerivedChange(std::uint64_t replaces, const std::string& document) {
  const boost::uuids::name_generator_sha1 generate{boost::uuids::ns::oid()};
  return to_string(generate(std::to_string(replaces) + '\n' + document));
}

int Publish(const cxxopts::ParseResult& parsed) {
  const auto client = ClientOptions(parsed);
  const auto files = WordsOf(parsed, "file", 1);
  if (files.size() > 1 || parsed.count("replaces") == 0) {
    FailUsage("publish takes one file and --replaces");
  }
  const auto wait_s = parsed["wait"].as<std::uint32_t>();
  if (wait_s > kLongestWaitS) {
    FailUsage("--wait: at most 3600");
  }
  const auto document = ReadFile(files.front());
  const auto checked = config::ParseConfiguration(document);
  PrintFaults(files.front(), checked.faults, output_format::kTable);
  if (config::HasError(checked.faults)) {
    return kExitInvalid;
  }
  const auto replaces = parsed["replaces"].as<std::uint64_t>();
  const auto change = parsed.count("change") > 0 ? parsed["change"].as<std::string>()
                                                 : DerivedChange(replaces, document);
  api_request request{"POST", "/v1/configuration?wait_ms=" + std::to_string(wait_s * 1000UL),
                      document};
  request.headers = {{"Rosearch-Change", change},
                     {"Rosearch-Replaces", std::to_string(replaces)},
                     {"Rosearch-Author", parsed["author"].as<std::string>()}};
  request.limit += std::chrono::seconds{wait_s};
  bool everywhere = true;
  const int code = PrintAnswer(
      api_client{client.entries}.Ask(std::move(request)), client.output,
      [&](const boost::json::object& answer) {
        everywhere = CellText(answer, "in_force_everywhere") == "true";
        std::cout << "version " << CellText(answer, "version") << " (change " << change
                  << "): " << (everywhere ? "in force everywhere" : "accepted, not yet everywhere")
                  << '\n';
      });
  return code == kExitOk && wait_s > 0 && !everywhere ? kExitFailed : code;
}

int RunPublish(const std::vector<std::string>& words) {
  return command_line{"publish", "Publishes customers, rules and limits.",
                      "publish rules.json --replaces 4 --author maria"}
      .AsksEntries()
      .Words("file", "JSON file, or - for the standard input")
      .Option("replaces", "version that this one replaces, as `rules show` tells it; 0: the first",
              cxxopts::value<std::uint64_t>())
      .Option("change", "id of this change; repeating it is the same change; default: derived",
              cxxopts::value<std::string>())
      .Option("author", "who publishes", cxxopts::value<std::string>()->default_value(""))
      .Option("wait", "seconds to wait until it is in force everywhere; 0: don't",
              cxxopts::value<std::uint32_t>()->default_value(std::to_string(kDefaultWaitS)))
      .Run(words, Publish);
}

const command_registrar kPublish{{"publish", "publish customers, rules and limits", RunPublish}};

}  // namespace
}  // namespace rosearch
