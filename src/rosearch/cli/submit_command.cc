#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>
#include <chrono>
#include <fstream>
#include <iostream>
#include <optional>
#include <thread>

#include "rosearch/cli/api_client.h"
#include "rosearch/cli/command_line.h"
#include "rosearch/cli/commands.h"
#include "rosearch/cli/job_options.h"
#include "rosearch/cli/job_progress.h"
#include "rosearch/cli/print.h"
#include "rosearch/platform/clock.h"

namespace rosearch {
namespace {

namespace json = boost::json;

constexpr std::chrono::milliseconds kPollInterval{500};
constexpr std::uint32_t kLongestWaitS = 86'400;

/// A job on its way: as it was read, and the newest answer about it.
struct submitted_job {
  job_text job;
  std::optional<result<http_reply>> answer;
  bool accepted{false};
  job_progress progress{job_progress::kOpen};
};

/// Sends jobs and follows them to their end.
class submission {
 public:
  submission(api_client& api, std::vector<job_text> jobs) : api_{api} {
    for (auto& each : jobs) {
      jobs_.push_back({std::move(each), std::nullopt});
    }
  }

  void Send(std::size_t at_once) {
    progress_line line{"submitted", jobs_.size()};
    api_.AskAll(
        jobs_.size(), at_once,
        [&](std::size_t index) {
          return api_request{"POST", "/v1/jobs", jobs_[index].job.text};
        },
        [&](std::size_t index, result<http_reply> answer) {
          jobs_[index].accepted = ExitCodeOf(answer) == kExitOk;
          Take(jobs_[index], std::move(answer));
          line.Step();
        });
  }

  void Follow(std::size_t at_once, time_point until) {
    for (;;) {
      std::vector<submitted_job*> open;
      for (auto& each : jobs_) {
        if (each.accepted && each.progress == job_progress::kOpen) {
          open.push_back(&each);
        }
      }
      if (open.empty() || SteadyNow() >= until) {
        return;
      }
      std::this_thread::sleep_for(kPollInterval);
      api_.AskAll(
          open.size(), at_once,
          [&](std::size_t index) {
            const auto& job = open[index]->job;
            return api_request{"GET", "/v1/jobs/" + job.customer + '/' + job.job};
          },
          [&](std::size_t index, result<http_reply> answer) {
            // An entry that can't tell now says nothing about the job.
            if (ExitCodeOf(answer) == kExitOk) {
              Take(*open[index], std::move(answer));
            }
          });
    }
  }

  /// Writes what was not accepted, to be submitted again.
  void WriteRejected(const std::string& path) const {
    std::ofstream file{path};
    for (const auto& each : jobs_) {
      if (!each.accepted) {
        file << each.job.text << '\n';
      }
    }
    if (!file.flush()) {
      std::cerr << "can't write " << path << '\n';
    }
  }

  [[nodiscard]] int Report(output_format format, bool waited) const {
    int code = kExitOk;
    std::vector<table_row> rows{JobHead()};
    json::array shown;
    for (const auto& each : jobs_) {
      const auto& answer = *each.answer;
      if (!each.accepted) {
        std::cerr << each.job.source << ": " << each.job.customer << '/' << each.job.job << ": "
                  << ErrorText(answer.has_error() ? answer.error() : *ErrorOf(answer.value()))
                  << '\n';
        code = std::max(code, ExitCodeOf(answer));
        continue;
      }
      auto body = BodyOf(answer.value());
      rows.push_back(JobRow(body));
      shown.push_back(std::move(body));
      if (waited && each.progress != job_progress::kWhole) {
        code = std::max<int>(code, kExitFailed);
      }
    }
    if (format == output_format::kJson) {
      std::cout << json::serialize(json::object{{"jobs", std::move(shown)}}) << '\n';
    } else if (rows.size() > 1) {
      PrintTable(std::cout, rows);
    }
    return code;
  }

 private:
  static void Take(submitted_job& job, result<http_reply> answer) {
    if (answer.has_value()) {
      job.progress = ProgressOf(BodyOf(answer.value()));
    }
    job.answer = std::move(answer);
  }

  api_client& api_;
  std::vector<submitted_job> jobs_;
};

int Submit(const cxxopts::ParseResult& parsed) {
  const auto client = ClientOptions(parsed);
  const bool has_lines = parsed.count("lines") > 0;
  const auto wait_s = parsed["wait"].as<std::uint32_t>();
  const auto at_once = parsed["at-once"].as<std::size_t>();
  if (wait_s > kLongestWaitS || at_once == 0) {
    FailUsage("--wait: at most 86400; --at-once: at least 1");
  }
  const auto path = has_lines ? parsed["lines"].as<std::string>() : std::string{};
  auto read = has_lines ? JobsOfLines(ReadFile(path), path) : JobOf(parsed);
  bool refused = false;
  for (const auto& [source, faults] : read.faults) {
    PrintFaults(source, faults, output_format::kTable);
    refused = refused || config::HasError(faults);
  }
  if (refused) {
    std::cerr << "nothing was submitted\n";
    return kExitInvalid;
  }
  api_client api{client.entries};
  submission all{api, std::move(read.jobs)};
  all.Send(at_once);
  if (parsed.count("rejected") > 0) {
    all.WriteRejected(parsed["rejected"].as<std::string>());
  }
  if (wait_s > 0) {
    all.Follow(at_once, SteadyNow() + std::chrono::seconds{wait_s});
  }
  return all.Report(client.output, wait_s > 0);
}

int RunSubmit(const std::vector<std::string>& words) {
  command_line line{"submit",
                    "Submits one job, or one for each line of a file. Repeating it is safe: a job "
                    "that is known by its name is not accepted a second time.",
                    "submit --lines jobs.jsonl --wait 600 --rejected again.jsonl"};
  AddJobOptions(line);
  return line.AsksEntries()
      .Option("lines", "file with a job as JSON in each line; - for the standard input",
              cxxopts::value<std::string>())
      .Option("wait", "seconds to wait until all has ended (a service: until all of it runs)",
              cxxopts::value<std::uint32_t>()->default_value("0"))
      .Option("at-once", "jobs on their way at a time",
              cxxopts::value<std::size_t>()->default_value(std::to_string(kAskedAtOnce)))
      .Option("rejected", "file to write the jobs to that were not accepted",
              cxxopts::value<std::string>())
      .Run(words, Submit);
}

const command_registrar kSubmit{{"submit", "submit one job or thousands", RunSubmit}};

}  // namespace
}  // namespace rosearch
