#include "rosearch/journal/stream_reader.h"

#include <glog/logging.h>

#include <algorithm>
#include <utility>

namespace rosearch::journal {
namespace {

/// @return the entry in a record; none where no reader can make sense of it.
std::optional<wire::log_entry> ReadableEntry(const wire::log_record& record) {
  wire::log_entry entry;
  const bool is_readable = entry.ParseFromString(record.payload()) && !entry.id().empty() &&
                           entry.body_case() != wire::log_entry::BODY_NOT_SET;
  return is_readable ? std::optional{std::move(entry)} : std::nullopt;
}

}  // namespace

stream_reader::stream_reader(stream_id stream, reader_options options)
    : stream_{std::move(stream)}, options_{options}, known_{options.known_ids} {}

read_request stream_reader::Next() const {
  switch (phase_) {
    case reader_phase::kLocating:
      return {stream_, 0, 1};
    case reader_phase::kSearching:
      return {stream_, window_at_, options_.max_records};
    case reader_phase::kFetching:
      return {stream_, snapshot_->at, 1};
    case reader_phase::kFollowing:
      break;
  }
  return {stream_, next_, options_.max_records};
}

void stream_reader::OnRead(const wire::log_read_answer& answer, time_point asked_at,
                           std::vector<stream_event>& out) {
  if (answer.end_offset() < end_ || answer.first_offset() > answer.end_offset()) {
    LOG(WARNING) << "event=read_ignored stream=" << stream_ << " first=" << answer.first_offset()
                 << " end=" << answer.end_offset() << " known_end=" << end_;
    return;
  }
  end_ = answer.end_offset();
  switch (phase_) {
    case reader_phase::kLocating:
      return Locate(answer, out);
    case reader_phase::kSearching:
      return SearchBack(answer, out);
    case reader_phase::kFetching:
      return Fetch(answer, out);
    case reader_phase::kFollowing:
      return Follow(answer, asked_at, out);
  }
}

void stream_reader::Restart() {
  phase_ = reader_phase::kLocating;
  known_ = author_window{options_.known_ids};
  finder_.reset();
  snapshot_.reset();
  goal_.reset();
  complete_at_.reset();
}

void stream_reader::Locate(const wire::log_read_answer& answer, std::vector<stream_event>& out) {
  first_ = answer.first_offset();
  finder_.emplace();
  window_first_ = end_;
  StepBack(out);
}

void stream_reader::StepBack(std::vector<stream_event>& out) {
  if (window_first_ == first_) {
    // No snapshot in all that is left: either none was ever needed, or its records were forgotten.
    return Begin({first_, false, first_ > 0}, out);
  }
  window_end_ = window_first_;
  window_first_ = window_end_ - std::min<log_offset>(window_end_ - first_, options_.warm_up);
  window_at_ = window_first_;
  phase_ = reader_phase::kSearching;
}

void stream_reader::SearchBack(const wire::log_read_answer& answer,
                               std::vector<stream_event>& out) {
  if (answer.first_offset() > window_at_) {
    return Restart();
  }
  for (const auto& record : answer.records()) {
    if (record.offset() != window_at_ || window_at_ == window_end_) {
      continue;
    }
    ++window_at_;
    if (const auto entry = ReadableEntry(record)) {
      finder_->Show(record.offset(), *entry);
    }
  }
  if (window_at_ < window_end_) {
    return;
  }
  snapshot_ = finder_->Newest();
  // What was written shortly before a snapshot may make it void, so that much is looked at as well.
  const bool enough_seen = snapshot_ && (window_first_ == first_ ||
                                         snapshot_->at - window_first_ >= options_.warm_up / 2);
  if (!enough_seen) {
    return StepBack(out);
  }
  phase_ = reader_phase::kFetching;
}

void stream_reader::Fetch(const wire::log_read_answer& answer, std::vector<stream_event>& out) {
  const bool is_there = !answer.records().empty() && answer.records(0).offset() == snapshot_->at;
  if (!is_there) {
    return Restart();
  }
  auto entry = ReadableEntry(answer.records(0));
  if (!entry) {
    return Restart();
  }
  first_ = answer.first_offset();
  Begin({snapshot_->resume, true, snapshot_->resume < first_}, out);
  out.emplace_back(stream_entry{snapshot_->at, std::move(*entry)});
}

void stream_reader::Begin(stream_restarted from, std::vector<stream_event>& out) {
  if (from.history_lost) {
    LOG(ERROR) << "event=history_lost stream=" << stream_ << " first=" << first_
               << " resume=" << from.at << " snapshot=" << from.has_snapshot;
  }
  begin_ = std::max(from.at, first_);
  next_ = begin_ - std::min<log_offset>(begin_ - first_, options_.warm_up);
  finder_.reset();
  phase_ = reader_phase::kFollowing;
  out.emplace_back(from);
}

void stream_reader::Follow(const wire::log_read_answer& answer, time_point asked_at,
                           std::vector<stream_event>& out) {
  if (answer.first_offset() > next_) {
    LOG(WARNING) << "event=offset_gone stream=" << stream_ << " next=" << next_
                 << " first=" << answer.first_offset();
    return Restart();
  }
  NoteGoal(answer.end_offset(), asked_at);
  for (const auto& record : answer.records()) {
    if (record.offset() == next_) {
      ++next_;
      Take(record, out);
    }
  }
  if (goal_ && next_ >= goal_->end) {
    complete_at_ = goal_->asked_at;
    goal_.reset();
  }
  if (next_ >= answer.end_offset()) {
    complete_at_ = asked_at;
  }
}

void stream_reader::NoteGoal(log_offset end, time_point asked_at) {
  // The first read of a stream that never rests finds an end that later reads reach; waiting to
  // reach the newest end instead might never succeed.
  if (!goal_) {
    goal_ = goal{end, asked_at};
  }
}

void stream_reader::Take(const wire::log_record& record, std::vector<stream_event>& out) {
  auto entry = Parse(record);
  if (!entry) {
    return;
  }
  const bool is_new = known_.Insert(entry->id());
  const bool was_fetched = snapshot_ && snapshot_->at == record.offset();
  if (record.offset() < begin_ || was_fetched) {
    return;
  }
  if (!is_new) {
    ++skipped_;
    return;
  }
  out.emplace_back(stream_entry{record.offset(), std::move(*entry)});
}

std::optional<wire::log_entry> stream_reader::Parse(const wire::log_record& record) {
  if (auto entry = ReadableEntry(record)) {
    return entry;
  }
  // A reader that stopped here would stop for good, and with it every entry alike. Skipping it has
  // the same effect for all of them, as none can read it.
  ++skipped_;
  LOG(WARNING) << "event=record_unreadable stream=" << stream_ << " offset=" << record.offset()
               << " bytes=" << record.payload().size();
  return std::nullopt;
}

}  // namespace rosearch::journal
