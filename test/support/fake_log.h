#ifndef TEST_SUPPORT_FAKE_LOG_H_
#define TEST_SUPPORT_FAKE_LOG_H_

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "rosearch/wire/platform.pb.h"

namespace rosearch::test {

/// The platform's log in memory: streams with offsets, all records of an append or none, retention,
/// and outages. It keeps no time; a test decides when an answer arrives or is lost.
class fake_log {
 public:
  /// Takes an append.
  /// @return the offset of the first record; none while the log is down, and then without effect.
  std::optional<std::uint64_t> Append(const std::string& stream,
                                      const std::vector<std::string>& records) {
    if (is_down_) {
      return std::nullopt;
    }
    auto& kept = streams_[stream].kept;
    const std::uint64_t first = End(stream);
    kept.insert(kept.end(), records.begin(), records.end());
    ++appends_;
    return first;
  }

  /// @return the records from `from` on, at most `max`; none while the log is down.
  [[nodiscard]] std::optional<wire::log_read_answer> Read(const std::string& stream,
                                                          std::uint64_t from,
                                                          std::uint64_t max) const {
    if (is_down_) {
      return std::nullopt;
    }
    wire::log_read_answer answer;
    const std::uint64_t first = First(stream);
    const std::uint64_t end = End(stream);
    answer.set_first_offset(first);
    answer.set_end_offset(end);
    const std::uint64_t begin = std::max(from, first);
    for (std::uint64_t at = begin; at < end && at - begin < max; ++at) {
      auto* const record = answer.add_records();
      record->set_offset(at);
      record->set_payload(streams_.at(stream).kept[at - first]);
    }
    return answer;
  }

  /// Retention: the records before `offset` are gone.
  void Forget(const std::string& stream, std::uint64_t offset) {
    auto& state = streams_[stream];
    while (state.first < offset && !state.kept.empty()) {
      state.kept.erase(state.kept.begin());
      ++state.first;
    }
  }

  void SetDown(bool down) noexcept { is_down_ = down; }
  [[nodiscard]] bool IsDown() const noexcept { return is_down_; }

  /// @return the oldest offset that is still kept.
  [[nodiscard]] std::uint64_t First(const std::string& stream) const {
    const auto found = streams_.find(stream);
    return found == streams_.end() ? 0 : found->second.first;
  }

  /// @return one past the newest offset.
  [[nodiscard]] std::uint64_t End(const std::string& stream) const {
    const auto found = streams_.find(stream);
    return found == streams_.end() ? 0 : found->second.first + found->second.kept.size();
  }

  /// @return how many appends took effect.
  [[nodiscard]] std::uint64_t appends() const noexcept { return appends_; }

 private:
  struct stream_state {
    std::uint64_t first{0};
    std::vector<std::string> kept;
  };

  std::map<std::string, stream_state> streams_;
  bool is_down_{false};
  std::uint64_t appends_{0};
};

}  // namespace rosearch::test

#endif  // TEST_SUPPORT_FAKE_LOG_H_
