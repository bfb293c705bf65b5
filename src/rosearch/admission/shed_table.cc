#include "rosearch/admission/shed_table.h"

#include <functional>
#include <utility>

namespace rosearch::admission {

void shed_table::Apply(shed_window window, const id_filter* filter, time_point asked_at) {
  if (window.epoch < window_.epoch) {
    return;
  }
  if (window.epoch > window_.epoch) {
    filter_.reset();
    filter_version_ = 0;
  } else if (asked_at < asked_at_) {
    return;
  }
  if (filter != nullptr) {
    filter_ = *filter;
    filter_version_ = window.version;
  }
  window_ = std::move(window);
  asked_at_ = asked_at;
}

std::uint64_t shed_table::FilterVersion(std::uint64_t epoch) const {
  return epoch == window_.epoch ? filter_version_ : 0;
}

bool shed_table::HasWindow(time_point now) const {
  return window_.version > 0 && now < asked_at_ + kWindowValidity;
}

const shed_queue* shed_table::Match(const shed_call& call) const {
  const shed_queue* best = nullptr;
  for (const auto& queue : window_.queues) {
    const bool longer = best == nullptr || queue.path_prefix.size() > best->path_prefix.size();
    if (longer && queue.host == call.host && call.path.starts_with(queue.path_prefix)) {
      best = &queue;
    }
  }
  return best;
}

std::optional<duration> shed_table::RetryTime(const shed_call& call, time_point now) const {
  // The leader accepts new jobs of a queue that was added to the window after the filter was built
  // until then, so a filter of another version may lack known jobs.
  if (!HasWindow(now) || !filter_ || filter_version_ != window_.version) {
    return std::nullopt;
  }
  const auto* const queue = Match(call);
  if (queue == nullptr || queue->retry_after <= duration{} ||
      (queue->requires_key && !call.has_key)) {  // the leader answers with the cause
    return std::nullopt;
  }
  const auto id = call.path.substr(queue->path_prefix.size());
  if (id.empty() || filter_->MayContain(id)) {
    return std::nullopt;
  }
  constexpr std::size_t kJitterSteps = 512;
  const auto jitter = static_cast<std::int64_t>(std::hash<std::string_view>{}(id) % kJitterSteps);
  return queue->retry_after + queue->retry_after * jitter / (2 * kJitterSteps);
}

}  // namespace rosearch::admission
