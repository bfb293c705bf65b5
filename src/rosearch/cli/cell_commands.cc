#include <algorithm>
#include <boost/json/serialize.hpp>
#include <iostream>

#include "rosearch/cli/api_client.h"
#include "rosearch/cli/command_line.h"
#include "rosearch/cli/commands.h"
#include "rosearch/cli/print.h"

namespace rosearch {
namespace {

namespace json = boost::json;

/// Shows one list of an answer as a table.
int ShowList(const cxxopts::ParseResult& parsed, const std::string& path, const std::string& key,
             const std::vector<std::string>& columns) {
  const auto client = ClientOptions(parsed);
  return PrintAnswer(
      api_client{client.entries}.Ask({"GET", path}), client.output,
      [&](const json::object& answer) { PrintTable(std::cout, RowsOf(answer, key, columns)); });
}

int RunQuota(const std::vector<std::string>& words) {
  return command_line{"quota", "Shows what each customer may use.", "quota --output json"}
      .AsksEntries()
      .Run(words, [](const cxxopts::ParseResult& parsed) {
        return ShowList(parsed, "/v1/quotas", "quotas",
                        {"customer", "weight", "most", "max_queued", "max_running"});
      });
}

int RunVms(const std::vector<std::string>& words) {
  return command_line{"vms", "Shows the VMs that are listed.", "vms"}.AsksEntries().Run(
      words, [](const cxxopts::ParseResult& parsed) {
        return ShowList(parsed, "/v1/vms", "vms",
                        {"vm", "kind", "region", "failure_domain", "rack", "leaving", "drained",
                         "holds", "committed"});
      });
}

int Drain(const cxxopts::ParseResult& parsed) {
  const auto client = ClientOptions(parsed);
  const std::string method = parsed["undo"].as<bool>() ? "DELETE" : "POST";
  api_client api{client.entries};
  int code = kExitOk;
  for (const auto& vm : WordsOf(parsed, "vm", 1)) {
    const auto answer = api.Ask({method, "/v1/vms/" + vm + "/drain"});
    const int told = PrintAnswer(answer, client.output, [&](const json::object& body) {
      std::cout << vm << ": "
                << (CellText(body, "leaving") == "true" ? "takes no new work" : "takes work again")
                << '\n';
    });
    code = std::max(code, told);
  }
  return code;
}

int RunDrain(const std::vector<std::string>& words) {
  return command_line{"drain", "Orders VMs to take no new work, or withdraws that.",
                      "drain worker-17 worker-18"}
      .AsksEntries()
      .Words("vm", "names of VMs")
      .Option("undo", "let them take work again")
      .Run(words, Drain);
}

int RunDump(const std::vector<std::string>& words) {
  return command_line{"dump", "Shows the whole state of the first entry that answers, as JSON.",
                      "dump --entry 127.0.0.1:8081"}
      .AsksEntries()
      .Option("process", "or of a process of a cell, as text: its metrics address",
              cxxopts::value<std::string>())
      .Run(words, [](const cxxopts::ParseResult& parsed) {
        if (parsed.count("process") > 0) {
          return PrintText(api_client{{parsed["process"].as<std::string>()}}.Ask({"GET", "/dump"}));
        }
        const auto client = ClientOptions(parsed);
        return PrintAnswer(
            api_client{client.entries}.Ask({"GET", "/v1/dump"}), client.output,
            [](const json::object& answer) { std::cout << json::serialize(answer) << '\n'; });
      });
}

const command_registrar kQuota{{"quota", "show the customers' quotas", RunQuota}};
const command_registrar kVms{{"vms", "show the VMs", RunVms}};
const command_registrar kDrain{{"drain", "take a VM out of use, or back", RunDrain}};
const command_registrar kDump{{"dump", "show an entry's whole state", RunDump}};

}  // namespace
}  // namespace rosearch
