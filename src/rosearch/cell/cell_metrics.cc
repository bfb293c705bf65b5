#include "rosearch/cell/cell_metrics.h"

#include <array>

namespace rosearch::cell {
namespace {

struct metric_help {
  const char* name;
  const char* help;
};

constexpr std::array kMetrics{
    metric_help{"rosearch_advice_seconds", "From a question for advice to its answer."},
    metric_help{"rosearch_advice_waiting", "Questions for advice that no process has asked yet."},
    metric_help{"rosearch_answers_total", "Answers to callers, by method and status."},
    metric_help{"rosearch_append_seconds", "From the first sending of a batch until it is stored."},
    metric_help{"rosearch_appends_failed_total",
                "Sendings of a batch that brought no good answer."},
    metric_help{"rosearch_batches", "Batches under way to the store."},
    metric_help{"rosearch_callers_waiting", "Callers that wait for the store's word on their job."},
    metric_help{"rosearch_configuration_version", "Version in force at the leader."},
    metric_help{"rosearch_job_seconds", "From handing a job in to its end, by phase and priority."},
    metric_help{"rosearch_jobs", "Jobs that haven't ended."},
    metric_help{"rosearch_jobs_refused_total", "Jobs that were not accepted, by reason."},
    metric_help{"rosearch_leading", "1 where this process leads."},
    metric_help{"rosearch_leases_ending", "Live workers whose lease ends within 3 s."},
    metric_help{"rosearch_log_lines_dropped_total", "Log lines that were never written."},
    metric_help{"rosearch_loop_delay_seconds",
                "How late the leader does what is due; everything waits so long."},
    metric_help{"rosearch_oldest_report_seconds",
                "Age of the oldest newest report of a live worker."},
    metric_help{"rosearch_peer_round_trip_seconds", "From a ping of the leader to its answer."},
    metric_help{"rosearch_peers", "Other processes of the cell that are known."},
    metric_help{"rosearch_placement_attempts_total",
                "Tries to place a step that waits; how much deciding costs."},
    metric_help{"rosearch_relayed_total", "Exchanges that went by way of a peer."},
    metric_help{"rosearch_runs", "Runs that may be under way."},
    metric_help{"rosearch_start_seconds", "From an order to start a run to its answer."},
    metric_help{"rosearch_starts_refused_total",
                "Orders to start that were refused or unanswered."},
    metric_help{"rosearch_store_calls_total", "Calls to the store, by kind and answer."},
    metric_help{"rosearch_store_seconds", "From a call to the store to its answer, by kind."},
    metric_help{"rosearch_takeover_seconds", "From a claim that won until jobs are taken."},
    metric_help{"rosearch_unsettled_workers",
                "Workers that may run old work and haven't answered."},
    metric_help{"rosearch_wait_seconds", "From handing a job in to its first start, by priority."},
    metric_help{"rosearch_waiting_tasks", "Tasks of open steps that don't run."},
    metric_help{"rosearch_worker_looks_total",
                "Workers looked at for steps that wait; how much one try costs."},
    metric_help{"rosearch_workers_live", "Workers that answer."},
};

std::string Pair(std::string_view label, std::string_view value) {
  return std::string{label} + "=\"" + std::string{value} + '"';
}

}  // namespace

void DescribeCellMetrics(metric_set& metrics) {
  for (const auto& each : kMetrics) {
    metrics.Describe(each.name, each.help);
  }
}

std::string Labelled(std::string_view name, std::string_view label, std::string_view value) {
  return std::string{name} + '{' + Pair(label, value) + '}';
}

std::string Labelled(std::string_view name, std::string_view label, std::string_view value,
                     std::string_view second, std::string_view second_value) {
  return std::string{name} + '{' + Pair(label, value) + ',' + Pair(second, second_value) + '}';
}

}  // namespace rosearch::cell
