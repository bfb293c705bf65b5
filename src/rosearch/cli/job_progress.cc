#include "rosearch/cli/job_progress.h"

#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>
#include <iostream>

namespace rosearch {
namespace {

namespace json = boost::json;

/// A line for each so many.
constexpr std::size_t kStep = 500;

}  // namespace

job_progress ProgressOf(const json::object& job) {
  const auto* const tasks = job.if_contains("tasks");
  if (tasks == nullptr || !tasks->is_array()) {
    return job_progress::kOpen;
  }
  const bool is_service = CellText(job, "kind") == "service";
  bool whole = true;
  for (const auto& each : tasks->get_array()) {
    const auto& task = each.as_object();
    const auto state = CellText(task, "state");
    if (is_service && state == "running") {
      continue;
    }
    if (state != "ended") {
      return job_progress::kOpen;
    }
    whole = whole && CellText(task, "outcome") == "done" && !task.contains("kind");
  }
  return whole ? job_progress::kWhole : job_progress::kFailed;
}

table_row JobHead() { return {"customer", "job", "kind", "rule", "cancelled", "tasks", "errors"}; }

table_row JobRow(const json::object& job) {
  json::object errors;
  const auto* const tasks = job.if_contains("tasks");
  if (tasks != nullptr && tasks->is_array()) {
    for (const auto& each : tasks->get_array()) {
      const auto* const kind = each.as_object().if_contains("kind");
      if (kind != nullptr) {
        auto& count = errors[kind->as_string()];
        count = count.is_int64() ? count.get_int64() + 1 : 1;
      }
    }
  }
  return {CellText(job, "customer"),
          CellText(job, "job"),
          CellText(job, "kind"),
          CellText(job, "rule"),
          CellText(job, "cancelled"),
          CellText(job, "counts"),
          errors.empty() ? "" : json::serialize(errors)};
}

void progress_line::Step() {
  ++done_;
  if (total_ >= kStep && (done_ % kStep == 0 || done_ == total_)) {
    std::cerr << what_ << ' ' << done_ << '/' << total_ << '\n';
  }
}

}  // namespace rosearch
