#include <algorithm>
#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>
#include <iostream>
#include <optional>
#include <sstream>

#include "rosearch/cli/api_client.h"
#include "rosearch/cli/command_line.h"
#include "rosearch/cli/commands.h"
#include "rosearch/cli/job_options.h"
#include "rosearch/cli/job_progress.h"
#include "rosearch/cli/print.h"
#include "rosearch/shard/task_key.h"

namespace rosearch {
namespace {

namespace json = boost::json;

/// @return CUSTOMER/JOB words of the command line and of the lines of --names.
std::vector<std::string> JobNames(const cxxopts::ParseResult& parsed, const std::string& words,
                                  const std::string& file = {}) {
  auto names = WordsOf(parsed, words, 0);
  if (!file.empty() && parsed.count(file) > 0) {
    std::istringstream lines{ReadFile(parsed[file].as<std::string>())};
    for (std::string line; lines >> line;) {
      names.push_back(line);
    }
  }
  if (names.empty()) {
    FailUsage("name a job: CUSTOMER/JOB");
  }
  for (const auto& name : names) {
    const auto slash = name.find('/');
    if (slash == std::string::npos || !IsValidName(name.substr(0, slash)) ||
        !IsValidName(name.substr(slash + 1))) {
      FailUsage("a job is named CUSTOMER/JOB, found " + name);
    }
  }
  return names;
}

/// Asks about each job and shows them all.
int AskJobs(const cxxopts::ParseResult& parsed, const std::string& method,
            const std::string& done) {
  const auto client = ClientOptions(parsed);
  const auto names = JobNames(parsed, "jobs", "names");
  std::vector<std::optional<result<http_reply>>> answers(names.size());
  progress_line line{done, names.size()};
  api_client{client.entries}.AskAll(
      names.size(), kAskedAtOnce,
      [&](std::size_t index) {
        return api_request{method, "/v1/jobs/" + names[index]};
      },
      [&](std::size_t index, result<http_reply> answer) {
        answers[index] = std::move(answer);
        line.Step();
      });
  int code = kExitOk;
  std::vector<table_row> rows{JobHead()};
  json::array shown;
  for (std::size_t at = 0; at < names.size(); ++at) {
    const auto& answer = *answers[at];
    code = std::max(code, ExitCodeOf(answer));
    if (ExitCodeOf(answer) != kExitOk) {
      std::cerr << names[at] << ": "
                << ErrorText(answer.has_error() ? answer.error() : *ErrorOf(answer.value()))
                << '\n';
      continue;
    }
    auto body = BodyOf(answer.value());
    rows.push_back(JobRow(body));
    shown.push_back(std::move(body));
  }
  if (client.output == output_format::kJson) {
    std::cout << json::serialize(json::object{{"jobs", std::move(shown)}}) << '\n';
  } else if (rows.size() > 1) {
    PrintTable(std::cout, rows);
  }
  return code;
}

command_line JobsLine(const std::string& name, const std::string& about) {
  command_line line{name, about, name + " calandria/uplift-1 calandria/uplift-2"};
  line.AsksEntries()
      .Words("jobs", "jobs, as CUSTOMER/JOB")
      .Option("names", "file with more of them; - for the standard input",
              cxxopts::value<std::string>());
  return line;
}

int RunStatus(const std::vector<std::string>& words) {
  return JobsLine("status", "Shows jobs.").Run(words, [](const cxxopts::ParseResult& parsed) {
    return AskJobs(parsed, "GET", "shown");
  });
}

int RunCancel(const std::vector<std::string>& words) {
  return JobsLine("cancel", "Cancels jobs: what waits is not run, what runs is stopped.")
      .Run(words, [](const cxxopts::ParseResult& parsed) {
        return AskJobs(parsed, "DELETE", "cancelled");
      });
}

/// Tells of a job that was accepted: what decided on it, where its tasks are, and for those that
/// wait, which VMs could take them.
int ExplainAccepted(const client_options& client, const std::string& name) {
  const auto answer = api_client{client.entries}.Ask({"GET", "/v1/jobs/" + name + "/explain"});
  return PrintAnswer(answer, client.output, [](const json::object& body) {
    std::cout << "rule " << CellText(body, "rule") << " of version "
              << CellText(body, "config_version") << ", policy " << CellText(body, "policy")
              << ", priority " << CellText(body, "priority") << ", each task needs "
              << CellText(body, "needs") << "\n\n";
    PrintTable(std::cout, RowsOf(body, "tasks",
                                 {"task", "state", "attempt", "vm", "outcome", "kind", "detail"}));
    std::cout << '\n';
    PrintTable(std::cout, RowsOf(body, "vms", {"vm", "reason", "missing"}));
  });
}

/// Tells of a job that a process of a cell knows: where its tasks are, and what the rest waits for.
int ExplainAtProcess(const std::string& process, const std::string& id) {
  return PrintText(api_client{{process}}.Ask({"GET", "/explain/" + id}));
}

int Explain(const cxxopts::ParseResult& parsed) {
  if (parsed.count("process") > 0) {
    return ExplainAtProcess(parsed["process"].as<std::string>(), WordsOf(parsed, "accepted", 1)[0]);
  }
  const auto client = ClientOptions(parsed);
  if (parsed.count("accepted") > 0) {
    return ExplainAccepted(client, JobNames(parsed, "accepted").front());
  }
  const auto read = JobOf(parsed);
  for (const auto& [source, faults] : read.faults) {
    PrintFaults(source, faults, output_format::kTable);
  }
  if (read.jobs.empty()) {
    return kExitInvalid;
  }
  const auto answer =
      api_client{client.entries}.Ask({"POST", "/v1/explain", read.jobs.front().text});
  return PrintAnswer(answer, client.output, [](const json::object& body) {
    std::cout << "rule " << CellText(body, "rule") << ", policy " << CellText(body, "policy")
              << ", priority " << CellText(body, "priority") << "\n\n";
    PrintTable(std::cout, RowsOf(body, "vms", {"vm", "reason", "missing"}));
  });
}

int RunExplain(const std::vector<std::string>& words) {
  command_line line{
      "explain",
      "Tells which rule would decide on a job, and for each VM that the entry decides "
      "on why it would or would not be taken. Starts nothing.",
      "explain --customer calandria --job uplift-1 --processors-milli 2000 "
      "--memory-mb 4096"};
  AddJobOptions(line);
  return line.AsksEntries()
      .Words("accepted", "or a job that was accepted, as CUSTOMER/JOB; with --process, its id")
      .Option("process", "ask a process of a cell: the metrics address of the one that leads",
              cxxopts::value<std::string>())
      .Run(words, Explain);
}

const command_registrar kStatus{{"status", "show jobs", RunStatus}};
const command_registrar kCancel{{"cancel", "cancel jobs", RunCancel}};
const command_registrar kExplain{{"explain", "tell where a job could run and why", RunExplain}};

}  // namespace
}  // namespace rosearch
