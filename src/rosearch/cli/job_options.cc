#include "rosearch/cli/job_options.h"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <map>
#include <sstream>
#include <utility>

#include "rosearch/api/job_document.h"

namespace rosearch {
namespace {

namespace json = boost::json;

/// An option and the key of the job that it sets.
struct job_option {
  const char* option;
  const char* key;
  const char* help;
};

constexpr job_option kWordOptions[] = {
    {"customer", "customer", "whose job it is"},
    {"job", "job", "its name, unique for the customer"},
    {"kind", "kind", "batch, gang or service"},
    {"label", "label", "what rules match besides customer and kind"},
    {"payload", "payload", "passed to each task as it is"},
};
constexpr job_option kNumberOptions[] = {
    {"count", "count", "tasks, or replicas of a service"},
    {"run-ms", "run_ms", "declared run time of one task, a hint"},
    {"deadline-ms", "deadline_ms", "a task that has not started by then is not run"},
};
constexpr job_option kNeedOptions[] = {
    {"processors-milli", "processors_milli", "thousandths of a processor for each task"},
    {"memory-mb", "memory_mb", "MB of memory for each task"},
    {"accelerators", "accelerators", "accelerators for each task"},
};
constexpr job_option kFlagOptions[] = {
    {"at-most-once", "at_most_once", "a task is never started a second time"},
    {"urgent", "urgent", "may displace work that a rule marks as preemptible"},
};

json::object JsonOf(const cxxopts::ParseResult& parsed) {
  json::object job;
  json::object needs;
  for (const auto& each : kWordOptions) {
    if (parsed.count(each.option) > 0) {
      job[each.key] = parsed[each.option].as<std::string>();
    }
  }
  for (const auto& each : kNumberOptions) {
    if (parsed.count(each.option) > 0) {
      job[each.key] = parsed[each.option].as<std::int64_t>();
    }
  }
  for (const auto& each : kNeedOptions) {
    if (parsed.count(each.option) > 0) {
      needs[each.key] = parsed[each.option].as<std::int64_t>();
    }
  }
  for (const auto& each : kFlagOptions) {
    if (parsed.count(each.option) > 0) {
      job[each.key] = parsed[each.option].as<bool>();
    }
  }
  if (!needs.empty()) {
    job["needs"] = std::move(needs);
  }
  return job;
}

void Take(const std::string& text, const std::string& source, job_texts& all) {
  const auto parsed = ParseJob(text);
  if (!parsed.faults.empty()) {
    all.faults.emplace_back(source, parsed.faults);
  }
  if (parsed.value) {
    all.jobs.push_back({source, parsed.value->customer(), parsed.value->job(), text});
  }
}

}  // namespace

void AddJobOptions(command_line& line) {
  line.Option("file", "the job as JSON; - for the standard input", cxxopts::value<std::string>());
  for (const auto& each : kWordOptions) {
    line.Option(each.option, each.help, cxxopts::value<std::string>());
  }
  for (const auto& each : kNumberOptions) {
    line.Option(each.option, each.help, cxxopts::value<std::int64_t>());
  }
  for (const auto& each : kNeedOptions) {
    line.Option(each.option, each.help, cxxopts::value<std::int64_t>());
  }
  for (const auto& each : kFlagOptions) {
    line.Option(each.option, each.help);
  }
}

job_texts JobOf(const cxxopts::ParseResult& parsed) {
  const auto described = JsonOf(parsed);
  const bool has_file = parsed.count("file") > 0;
  if (has_file == !described.empty()) {
    FailUsage("describe one job: either by --file or by options");
  }
  job_texts all;
  if (has_file) {
    const auto path = parsed["file"].as<std::string>();
    Take(ReadFile(path), path, all);
  } else {
    Take(json::serialize(described), "options", all);
  }
  return all;
}

job_texts JobsOfLines(const std::string& text, const std::string& source) {
  job_texts all;
  std::map<std::pair<std::string, std::string>, std::string> first;
  std::istringstream lines{text};
  std::string line;
  for (std::size_t number = 1; std::getline(lines, line); ++number) {
    if (line.find_first_not_of(" \t\r") == std::string::npos) {
      continue;
    }
    const auto where = source + ':' + std::to_string(number);
    const auto known = all.jobs.size();
    Take(line, where, all);
    if (all.jobs.size() == known) {
      continue;
    }
    const auto& made = all.jobs.back();
    const auto [named, is_new] = first.try_emplace({made.customer, made.job}, where);
    if (!is_new) {
      all.faults.emplace_back(
          where, std::vector<config::fault>{
                     {"job", made.job, "a name that no other line has, unlike " + named->second}});
    }
  }
  return all;
}

}  // namespace rosearch
