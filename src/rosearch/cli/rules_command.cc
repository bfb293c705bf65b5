#include <boost/json/serialize.hpp>
#include <iostream>

#include "rosearch/cli/api_client.h"
#include "rosearch/cli/command_line.h"
#include "rosearch/cli/commands.h"
#include "rosearch/cli/print.h"
#include "rosearch/config/configuration.h"

namespace rosearch {
namespace {

namespace json = boost::json;

const json::object& DocumentOf(const json::object& answer) {
  return answer.at("document").as_object();
}

int Show(const client_options& client) {
  return PrintAnswer(
      api_client{client.entries}.Ask({"GET", "/v1/configuration"}), client.output,
      [](const json::object& answer) {
        std::cout << "version " << CellText(answer, "version") << ", change "
                  << CellText(answer, "change") << ", author " << CellText(answer, "author")
                  << ", lowest version of any entry " << CellText(answer, "lowest_version")
                  << "\n\n";
        PrintTable(std::cout, RowsOf(DocumentOf(answer), "customers", {"name", "weight", "quota"}));
        std::cout << '\n';
        PrintTable(std::cout, RowsOf(DocumentOf(answer), "rules", {"name", "match", "treat"}));
        std::cout << "\nlimits " << CellText(DocumentOf(answer), "limits") << '\n';
      });
}

int History(const client_options& client) {
  return PrintAnswer(
      api_client{client.entries}.Ask({"GET", "/v1/configuration/history"}), client.output,
      [](const json::object& answer) {
        PrintTable(std::cout,
                   RowsOf(answer, "changes", {"version", "effect", "change", "author", "detail"}));
      });
}

int DiffWith(const client_options& client, const std::string& path) {
  const auto next = config::ParseConfiguration(ReadFile(path));
  PrintFaults(path, next.faults, output_format::kTable);
  if (!next.value) {
    return kExitInvalid;
  }
  const auto answer = api_client{client.entries}.Ask({"GET", "/v1/configuration"});
  if (ExitCodeOf(answer) != kExitOk) {
    return PrintAnswer(answer, client.output, {});
  }
  const auto body = BodyOf(answer.value());
  const auto in_force = config::ParseConfiguration(json::serialize(DocumentOf(body)));
  if (!in_force.value) {
    PrintFaults("the version in force", in_force.faults, output_format::kTable);
    return kExitInvalid;
  }
  const auto lines = config::Diff(*in_force.value, *next.value);
  if (client.output == output_format::kJson) {
    std::cout << json::serialize(json::object{{"version", body.at("version")},
                                              {"changes", json::array(lines.begin(), lines.end())}})
              << '\n';
    return kExitOk;
  }
  std::cout << "against version " << CellText(body, "version") << ": " << lines.size()
            << " changes\n";
  for (const auto& each : lines) {
    std::cout << each << '\n';
  }
  return kExitOk;
}

int Rules(const cxxopts::ParseResult& parsed) {
  const auto client = ClientOptions(parsed);
  const auto words = WordsOf(parsed, "what", 1);
  if (words.front() == "show" && words.size() == 1) {
    return Show(client);
  }
  if (words.front() == "history" && words.size() == 1) {
    return History(client);
  }
  if (words.front() == "diff" && words.size() == 2) {
    return DiffWith(client, words.back());
  }
  FailUsage("rules takes: show, history, or diff FILE");
}

int RunRules(const std::vector<std::string>& words) {
  return command_line{"rules", "Shows what is in force, what was published, or what would change.",
                      "rules diff rules.json"}
      .AsksEntries()
      .Words("what", "show, history, or diff FILE")
      .Run(words, Rules);
}

const command_registrar kRules{{"rules", "show, history or diff of the rules", RunRules}};

}  // namespace
}  // namespace rosearch
