#include "rosearch/cell/cell_metrics.h"

#include <array>

namespace rosearch::cell {
namespace {

struct metric_help {
  const char* name;
  const char* help;
};

constexpr std::array kMetrics{
    metric_help{"rosearch_advice_seconds", "Time from an advice request to its answer."},
    metric_help{"rosearch_advice_hedged_total",
                "Late advice requests that another process sent a second time."},
    metric_help{"rosearch_advice_unanswered_total",
                "Advice requests that got no answer, by the process that sent them."},
    metric_help{"rosearch_advice_unused_total",
                "Answers to advice requests after which the step started nothing."},
    metric_help{"rosearch_advice_waiting", "Advice requests that have not been sent yet."},
    metric_help{"rosearch_answers_total", "Answers to callers, by method and status."},
    metric_help{"rosearch_append_seconds",
                "Time from the first attempt to send a batch until it is stored."},
    metric_help{"rosearch_appends_failed_total", "Failed attempts to append a batch."},
    metric_help{"rosearch_batches", "Batches in flight to the store."},
    metric_help{"rosearch_call_wait_seconds",
                "Time that a call waited at the leader for its turn, if it had to wait."},
    metric_help{"rosearch_callers_waiting", "Callers that wait until their job is stored."},
    metric_help{"rosearch_calls_waiting", "Calls that wait at the leader for their turn."},
    metric_help{"rosearch_client_call_bytes",
                "Bytes of calls under way and their copies, as counted against the limit."},
    metric_help{"rosearch_client_connections", "Connections of clients at all addresses."},
    metric_help{"rosearch_client_memory_bytes",
                "Bytes that clients make this process hold, as counted against the limit."},
    metric_help{"rosearch_client_memory_limit_bytes",
                "Limit of what clients may make this process hold."},
    metric_help{"rosearch_client_refusals_total",
                "Clients that were refused or whose connection was closed, by reason."},
    metric_help{"rosearch_configuration_version", "Configuration version in force at the leader."},
    metric_help{"rosearch_job_memory_bytes",
                "Memory of all jobs that have not ended, as counted against its limit."},
    metric_help{"rosearch_job_memory_limit_bytes",
                "Limit of the memory of all jobs that have not ended."},
    metric_help{"rosearch_job_seconds",
                "Time from submission of a job to its end, by phase and priority."},
    metric_help{"rosearch_jobs", "Jobs that have not ended."},
    metric_help{"rosearch_jobs_refused_total", "Jobs that were not accepted, by reason."},
    metric_help{"rosearch_keys_refused_total",
                "Callers refused because their key is missing or unknown, by reason."},
    metric_help{"rosearch_leading", "1 where this process leads."},
    metric_help{"rosearch_leases_ending", "Live workers whose lease ends within 3 s."},
    metric_help{"rosearch_log_lines_dropped_total", "Log lines dropped without being written."},
    metric_help{"rosearch_loop_delay_seconds",
                "Delay of the leader's timers, which is how long any event waits."},
    metric_help{"rosearch_oldest_report_seconds",
                "Largest age, over live workers, of a worker's latest report."},
    metric_help{"rosearch_oldest_stall_seconds",
                "How long the longest stalled step has had room for all it needs."},
    metric_help{"rosearch_oldest_unconfirmed_seconds",
                "Largest age of an order to start or stop a run that is not confirmed."},
    metric_help{"rosearch_order_delay_seconds",
                "Time from a scheduling pass until one of its start orders is sent."},
    metric_help{"rosearch_peer_round_trip_seconds",
                "Time from a ping to the leader until its answer."},
    metric_help{"rosearch_peer_calls_dropped_total",
                "Callers' requests from peers that were dropped as too many bytes waited."},
    metric_help{"rosearch_peers", "Known other processes of the cell."},
    metric_help{"rosearch_placement_attempts_total",
                "Attempts to place a waiting step; measures the cost of scheduling."},
    metric_help{"rosearch_relayed_total", "Exchanges relayed by a peer."},
    metric_help{"rosearch_run_times_learned_total", "Ended runs whose run time was learned."},
    metric_help{"rosearch_runs", "Runs that may be in progress."},
    metric_help{"rosearch_stalled_steps",
                "Steps of jobs without a run that don't start although there is ample room."},
    metric_help{"rosearch_start_seconds", "Time from a start order to its answer."},
    metric_help{"rosearch_starts_refused_total", "Start orders that were refused or unanswered."},
    metric_help{"rosearch_store_calls_total", "Calls to the store, by kind and answer."},
    metric_help{"rosearch_store_seconds", "Time from a call to the store to its answer, by kind."},
    metric_help{"rosearch_takeover_seconds",
                "Time from the winning claim until callers are served."},
    metric_help{"rosearch_unsettled_workers",
                "Workers that have not answered and may run tasks of a former leader."},
    metric_help{"rosearch_wait_seconds",
                "Time from submission of a job to its first start, by priority."},
    metric_help{"rosearch_waiting_tasks", "Tasks of open steps that are not running."},
    metric_help{"rosearch_worker_looks_total",
                "Workers examined for waiting steps; measures the cost of an attempt."},
    metric_help{"rosearch_worker_records_unusable_total",
                "Registry records that name no usable worker, once per key and content."},
    metric_help{"rosearch_worker_restarts_total", "Restarts of workers under their former id."},
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
