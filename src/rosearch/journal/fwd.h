#ifndef ROSEARCH_JOURNAL_FWD_H_
#define ROSEARCH_JOURNAL_FWD_H_

namespace rosearch::journal {

class append_budget;
class appender;
class author_window;
class snapshot_schedule;
struct append_request;
struct appender_options;
struct appender_output;
struct read_back_request;
struct record_durable;
struct record_id;
struct stream_entry;
struct stream_restarted;

}  // namespace rosearch::journal

#endif  // ROSEARCH_JOURNAL_FWD_H_
