#ifndef ROSEARCH_CLI_JOB_OPTIONS_H_
#define ROSEARCH_CLI_JOB_OPTIONS_H_

#include <string>
#include <vector>

#include "rosearch/cli/command_line.h"
#include "rosearch/config/fault.h"

namespace rosearch {

/// A job as it is sent to an entry, and where it came from.
struct job_text {
  std::string source;  ///< `jobs.jsonl:17`, or the file, or `options`
  std::string customer;
  std::string job;
  std::string text;  ///< JSON

  friend bool operator==(const job_text&, const job_text&) = default;
};

/// Jobs that were read, and the faults of those that can't be sent.
struct job_texts {
  std::vector<job_text> jobs;
  std::vector<std::pair<std::string, std::vector<config::fault>>> faults;  ///< by source
};

/// Adds the options that describe one job: each key of the job's schema, or --file with JSON.
void AddJobOptions(command_line& line);

/// @return the one job that the options or the file describe, or its faults.
/// @throws cxxopts::exceptions::exception where neither is given, or both are.
[[nodiscard]] job_texts JobOf(const cxxopts::ParseResult& parsed);

/// @param text    a job in each line; empty lines are passed over.
/// @param source  name of the file, for messages.
/// @return every job of the text, and every fault of every line. A name that stands there twice is
/// a
///   fault: the entry would take the second line for a repetition of the first.
[[nodiscard]] job_texts JobsOfLines(const std::string& text, const std::string& source);

}  // namespace rosearch

#endif  // ROSEARCH_CLI_JOB_OPTIONS_H_
