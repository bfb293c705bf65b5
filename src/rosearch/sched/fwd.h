#ifndef ROSEARCH_SCHED_FWD_H_
#define ROSEARCH_SCHED_FWD_H_

namespace rosearch::sched {

enum class end_kind;
enum class job_phase;
enum class start_outcome;
struct cell_configuration;
struct cell_counts;
struct job_scope;
struct job_spec;
struct pool_load;
struct queue_rules;
struct run_outlook;
struct state_batch;
struct step_spec;
struct stored_record;
struct submit_answer;
struct wait_view;
struct watch_request;
struct worker_facts;
struct worker_record;
struct worker_report;
class fill_index;
class run_time_model;
class scheduler;
class worker_record_history;

}  // namespace rosearch::sched

#endif  // ROSEARCH_SCHED_FWD_H_
