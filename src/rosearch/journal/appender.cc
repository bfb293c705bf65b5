#include "rosearch/journal/appender.h"

#include <glog/logging.h>

#include <algorithm>
#include <utility>

namespace rosearch::journal {
namespace {

/// Beyond this many doublings every wait is the longest one.
constexpr std::uint32_t kMostDoublings = 20;

}  // namespace

appender::appender(appender_options options, entry_id entry, incarnation_number incarnation)
    : options_{options},
      entry_{std::move(entry)},
      incarnation_{incarnation},
      budget_{options.appends_per_s, options.burst},
      jitter_{incarnation} {}

result<ticket> appender::Add(const stream_id& stream, wire::log_entry entry, time_point now) {
  const ticket number = last_ticket_ + 1;
  entry.set_id(record_id{entry_, incarnation_, number}.ToString());
  entry.mutable_author()->set_entry(entry_.value());
  entry.mutable_author()->set_incarnation(incarnation_);
  std::string bytes = entry.SerializeAsString();
  const std::size_t size = bytes.size();
  if (size > options_.max_append_bytes) {
    return error{error_kind::kInvalidRequest,
                 "the record has " + std::to_string(size) + " bytes, more than one append takes"};
  }
  if (waiting_bytes_ + size > options_.max_waiting_bytes) {
    return error{error_kind::kOverloaded,
                 std::to_string(waiting_bytes_) + " bytes of records wait for the log",
                 options_.retry_most};
  }
  last_ticket_ = number;
  auto& state = streams_[stream];
  state.waiting.push_back(
      {number, entry.id(), std::move(bytes), now + options_.linger, std::nullopt});
  state.bytes += size;
  waiting_bytes_ += size;
  return number;
}

time_point appender::DueAt(const stream_state& state) const noexcept {
  if (state.phase == stream_phase::kUncertain) {
    return state.retry_at;
  }
  if (state.phase != stream_phase::kIdle || state.waiting.empty()) {
    return kNever;
  }
  const bool is_full = state.bytes >= options_.max_append_bytes;
  return std::max(is_full ? time_point{} : state.waiting.front().due, state.retry_at);
}

time_point appender::NextAt() const noexcept {
  time_point next = kNever;
  for (const auto& [name, state] : streams_) {
    const time_point due = DueAt(state);
    const bool needs_budget = state.phase == stream_phase::kIdle;
    next = std::min(next, needs_budget ? std::max(due, budget_.NextAt()) : due);
  }
  return next;
}

void appender::Tick(time_point now, appender_output& out) {
  std::vector<std::pair<time_point, stream_map::iterator>> due;
  for (auto each = streams_.begin(); each != streams_.end(); ++each) {
    if (const time_point at = DueAt(each->second); at <= now) {
      due.emplace_back(at, each);
    }
  }
  // The longest due goes first, or a busy stream would starve a quiet one of the budget.
  std::ranges::stable_sort(due, {}, [](const auto& each) { return each.first; });
  for (const auto& [at, each] : due) {
    auto& [stream, state] = *each;
    if (state.phase == stream_phase::kUncertain) {
      Ask(stream, state, out);
    } else if (budget_.Take(now)) {
      Send(stream, state, out);
    }
  }
}

void appender::Ask(const stream_id& stream, stream_state& state, appender_output& out) {
  state.phase = stream_phase::kReading;
  state.question = ++last_question_;
  out.read_backs.push_back({state.question, stream, state.read_from});
}

void appender::Send(const stream_id& stream, stream_state& state, appender_output& out) {
  append_request request{++last_question_, stream, {}};
  std::size_t size = 0;
  for (const auto& record : state.waiting) {
    size += record.bytes.size();
    if (size > options_.max_append_bytes) {
      break;
    }
    request.records.push_back(record.bytes);
  }
  state.phase = stream_phase::kAppending;
  state.sent = request.records.size();
  state.question = request.number;
  state.read_from = state.end;
  out.appends.push_back(std::move(request));
}

appender::stream_map::iterator appender::FindQuestion(question_number number) {
  return std::ranges::find_if(streams_, [number](const auto& each) {
    const auto& state = each.second;
    const bool waits =
        state.phase == stream_phase::kAppending || state.phase == stream_phase::kReading;
    return waits && state.question == number;
  });
}

void appender::OnAppended(question_number number, log_offset first_offset, time_point /*now*/,
                          appender_output& out) {
  const auto found = FindQuestion(number);
  if (found == streams_.end() || found->second.phase != stream_phase::kAppending) {
    // An answer that comes after its question was given up: the read-back finds the records.
    return;
  }
  auto& [stream, state] = *found;
  for (std::size_t index = 0; index < state.sent; ++index) {
    state.waiting[index].found = first_offset + index;
  }
  state.end = std::max(state.end, first_offset + state.sent);
  Confirm(stream, state, out);
}

void appender::FillForgotten(stream_state& state) {
  // An append takes effect as a whole. Where the log has forgotten its first records before the
  // read-back, as after a pause longer than the retention, a later one shows that they were there;
  // written again they would stand behind their successors, and no reader would take them.
  for (std::size_t later = state.sent; later-- > 1;) {
    const auto& next = state.waiting[later].found;
    auto& record = state.waiting[later - 1];
    if (next && !record.found) {
      record.found = *next - 1;
    }
  }
}

void appender::Confirm(const stream_id& stream, stream_state& state, appender_output& out) {
  while (state.sent > 0) {
    const auto& record = state.waiting.front();
    if (!record.found) {
      break;
    }
    out.durable.push_back({record.number, stream, *record.found});
    state.bytes -= record.bytes.size();
    waiting_bytes_ -= record.bytes.size();
    state.waiting.pop_front();
    --state.sent;
    state.failures = 0;
    state.retry_at = {};
  }
  state.sent = 0;
  state.phase = stream_phase::kIdle;
}

void appender::OnFailed(question_number number, bool maybe_took_effect, time_point now) {
  const auto found = FindQuestion(number);
  if (found == streams_.end()) {
    return;
  }
  auto& state = found->second;
  // Appending again at once after a lost answer would write every record of a slow log twice and
  // spend the budget on copies; the log is asked first.
  const bool uncertain = maybe_took_effect || state.phase == stream_phase::kReading;
  state.phase = uncertain ? stream_phase::kUncertain : stream_phase::kIdle;
  BackOff(state, now);
}

void appender::BackOff(stream_state& state, time_point now) {
  const auto doublings = std::min(state.failures++, kMostDoublings);
  const duration wait =
      std::min(options_.retry_least * (std::int64_t{1} << doublings), options_.retry_most);
  // Without jitter all entries would come back at the same moment after an outage.
  state.retry_at = now + duration{jitter_.Between(wait.count() / 2, wait.count())};
}

void appender::OnReadBack(question_number number, const wire::log_read_answer& answer,
                          time_point now, appender_output& out) {
  const auto found = FindQuestion(number);
  if (found == streams_.end() || found->second.phase != stream_phase::kReading) {
    return;
  }
  auto& [stream, state] = *found;
  const bool is_stale = answer.end_offset() < state.read_from;
  const bool is_empty = answer.records().empty() && answer.end_offset() > state.read_from &&
                        answer.first_offset() <= state.read_from;
  if (is_stale || is_empty) {
    OnFailed(number, true, now);
    return;
  }
  state.read_from = std::max(state.read_from, answer.first_offset());
  for (const auto& record : answer.records()) {
    wire::log_entry entry;
    if (record.offset() < state.read_from || !entry.ParseFromString(record.payload())) {
      continue;
    }
    const auto last = state.waiting.begin() + static_cast<std::ptrdiff_t>(state.sent);
    const auto mine = std::find_if(state.waiting.begin(), last,
                                   [&](const auto& each) { return each.id == entry.id(); });
    if (mine != last && !mine->found) {
      mine->found = record.offset();
    }
  }
  if (!answer.records().empty()) {
    const auto last_read = answer.records(answer.records_size() - 1).offset();
    state.read_from = std::max(state.read_from, last_read + 1);
  }
  if (state.read_from < answer.end_offset()) {
    Ask(stream, state, out);
    return;
  }
  state.end = std::max(state.end, answer.end_offset());
  FillForgotten(state);
  Confirm(stream, state, out);
}

void appender::OnEnd(const stream_id& stream, log_offset end) {
  auto& state = streams_[stream];
  state.end = std::max(state.end, end);
}

appender_status appender::Status() const noexcept {
  appender_status status;
  status.waiting_bytes = waiting_bytes_;
  for (const auto& [name, state] : streams_) {
    status.waiting_records += state.waiting.size();
    status.failures = std::max(status.failures, state.failures);
    const bool uncertain =
        state.phase == stream_phase::kUncertain || state.phase == stream_phase::kReading;
    status.uncertain_streams += uncertain ? 1 : 0;
  }
  return status;
}

}  // namespace rosearch::journal
