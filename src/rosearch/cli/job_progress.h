#ifndef ROSEARCH_CLI_JOB_PROGRESS_H_
#define ROSEARCH_CLI_JOB_PROGRESS_H_

#include <boost/json/object.hpp>
#include <cstddef>
#include <iosfwd>
#include <string>
#include <vector>

#include "rosearch/cli/print.h"

namespace rosearch {

/// Questions that a command has under way at a time.
inline constexpr std::size_t kAskedAtOnce = 32;

/// How far a job has got.
enum class job_progress {
  kOpen,
  kWhole,   ///< every task ended done, or, of a service, runs
  kFailed,  ///< all has ended, some task not done
};

/// @param job  as an entry shows it.
/// @return how far it is.
[[nodiscard]] job_progress ProgressOf(const boost::json::object& job);

/// @return the head of a table of jobs.
[[nodiscard]] table_row JobHead();

/// @return the job as one line of a table.
[[nodiscard]] table_row JobRow(const boost::json::object& job);

/// Tells on the standard error how many of many are done.
class progress_line {
 public:
  progress_line(std::string what, std::size_t total) : what_{std::move(what)}, total_{total} {}

  void Step();

 private:
  std::string what_;
  std::size_t total_;
  std::size_t done_{0};
};

}  // namespace rosearch

#endif  // ROSEARCH_CLI_JOB_PROGRESS_H_
