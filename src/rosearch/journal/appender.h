#ifndef ROSEARCH_JOURNAL_APPENDER_H_
#define ROSEARCH_JOURNAL_APPENDER_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "rosearch/core/id.h"
#include "rosearch/core/random_source.h"
#include "rosearch/core/result.h"
#include "rosearch/core/time.h"
#include "rosearch/journal/append_budget.h"
#include "rosearch/journal/record_id.h"
#include "rosearch/wire/platform.pb.h"
#include "rosearch/wire/record.pb.h"

namespace rosearch::journal {

/// How an appender spends the platform's log.
struct appender_options {
  duration linger{std::chrono::milliseconds{5}};  ///< a record waits for others to share its append
  std::uint32_t appends_per_s{20};                ///< over all streams
  std::uint32_t burst{10};                        ///< appends that may follow each other at once
  std::size_t max_append_bytes{256 * 1024};       ///< records of one append
  std::size_t max_waiting_bytes{16 * 1024 * 1024};  ///< records not yet known to be in the log
  duration retry_least{std::chrono::milliseconds{50}};
  duration retry_most{std::chrono::seconds{5}};

  friend bool operator==(const appender_options&, const appender_options&) = default;
};

/// Numbers one record that was added; ascending.
using ticket = std::uint64_t;

/// Numbers one question to the log; a question that is asked again has a new one.
using question_number = std::uint64_t;

/// Append these records at once, in order, or none of them.
struct append_request {
  question_number number{0};
  stream_id stream;
  std::vector<std::string> records;

  friend bool operator==(const append_request&, const append_request&) = default;
};

/// Read the stream, to learn whether an append whose answer was lost took effect.
struct read_back_request {
  question_number number{0};
  stream_id stream;
  log_offset from{0};

  friend bool operator==(const read_back_request&, const read_back_request&) = default;
};

/// A record is in the log.
struct record_durable {
  ticket number{0};
  stream_id stream;
  log_offset offset{0};  ///< of one copy; an earlier one may exist, and readers go by the first

  friend bool operator==(const record_durable&, const record_durable&) = default;
};

/// What the caller has to do, and what has come true. Filled at the end, never cleared.
struct appender_output {
  std::vector<append_request> appends;
  std::vector<read_back_request> read_backs;
  std::vector<record_durable> durable;  ///< of each stream in the order of `Add`
};

/// What a person wants to know of an appender.
struct appender_status {
  std::size_t waiting_records{0};
  std::size_t waiting_bytes{0};
  std::size_t uncertain_streams{0};  ///< the last answer was lost and is not made up for yet
  std::uint32_t failures{0};         ///< in a row, of the stream that has most of them

  friend bool operator==(const appender_status&, const appender_status&) = default;
};

/// Writes records to the streams of the platform's log: groups them, keeps their order within each
/// stream, stays within a budget of appends and outlasts outages. Each record takes effect once.
class appender {
 public:
  /// @param entry  the writing entry, and this run of it: author of all records.
  appender(appender_options options, entry_id entry, incarnation_number incarnation);

  /// Queues a record. Its id and author are filled in here.
  /// @return a number for its `record_durable`. Errors: `kInvalidRequest` for a record larger than
  /// one append, `kOverloaded` where too much waits for the log already; nothing is queued then.
  [[nodiscard]] result<ticket> Add(const stream_id& stream, wire::log_entry entry, time_point now);

  /// Sends what is due and within the budget. Call at `NextAt`.
  void Tick(time_point now, appender_output& out);

  /// The log took an append.
  /// @param first_offset  offset of its first record.
  void OnAppended(question_number number, log_offset first_offset, time_point now,
                  appender_output& out);

  /// An append or a read-back failed.
  /// @param maybe_took_effect  false only where the append certainly has no effect and never will.
  void OnFailed(question_number number, bool maybe_took_effect, time_point now);

  /// The log answered a read-back.
  void OnReadBack(question_number number, const wire::log_read_answer& answer, time_point now,
                  appender_output& out);

  /// Tells of a stream's end that was read elsewhere, so that a read-back needn't begin further
  /// down.
  void OnEnd(const stream_id& stream, log_offset end);

  /// @return when `Tick` next has something to do; `kNever` where it only waits for answers.
  [[nodiscard]] time_point NextAt() const noexcept;

  /// @return whether every record that was added is in the log.
  [[nodiscard]] bool IsEmpty() const noexcept { return waiting_bytes_ == 0; }

  [[nodiscard]] appender_status Status() const noexcept;

 private:
  struct waiting_record {
    ticket number;
    std::string id;
    std::string bytes;
    time_point due;
    std::optional<log_offset> found;  ///< by the read-back under way
  };

  enum class stream_phase {
    kIdle,       ///< the next append may go
    kAppending,  ///< waits for the answer to an append
    kUncertain,  ///< an answer was lost: has to read back before it appends
    kReading,    ///< waits for the answer to a read-back
  };

  struct stream_state {
    std::deque<waiting_record> waiting;
    std::size_t bytes{0};
    stream_phase phase{stream_phase::kIdle};
    std::size_t sent{0};          ///< records at the front that the last append held
    question_number question{0};  ///< the one whose answer counts
    log_offset end{0};            ///< the stream is known to reach at least up to here
    log_offset read_from{0};      ///< a lost append can only be from here on
    std::uint32_t failures{0};
    time_point retry_at{};
  };

  using stream_map = std::map<stream_id, stream_state>;

  [[nodiscard]] stream_map::iterator FindQuestion(question_number number);
  [[nodiscard]] time_point DueAt(const stream_state& state) const noexcept;
  void Ask(const stream_id& stream, stream_state& state, appender_output& out);
  void Send(const stream_id& stream, stream_state& state, appender_output& out);
  void BackOff(stream_state& state, time_point now);
  static void FillForgotten(stream_state& state);
  void Confirm(const stream_id& stream, stream_state& state, appender_output& out);

  appender_options options_;
  entry_id entry_;
  incarnation_number incarnation_;
  append_budget budget_;
  random_source jitter_;
  stream_map streams_;
  std::size_t waiting_bytes_{0};
  ticket last_ticket_{0};
  question_number last_question_{0};
};

}  // namespace rosearch::journal

#endif  // ROSEARCH_JOURNAL_APPENDER_H_
