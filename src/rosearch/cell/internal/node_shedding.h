#ifndef ROSEARCH_CELL_INTERNAL_NODE_SHEDDING_H_
#define ROSEARCH_CELL_INTERNAL_NODE_SHEDDING_H_

// Refusal of calls for queues that accept no new jobs. Included by node.h.

#include "rosearch/cell/node.h"

namespace rosearch::cell {

template <typename Ports>
void node<Ports>::RecordShedWindow(const wire::peer_frame& frame, time_point lease_from) {
  const auto& pong = frame.pong();
  admission::shed_window window{frame.epoch(), pong.shed_version(), {}};
  for (const auto& each : pong.shed_queues()) {
    window.queues.push_back({each.host(), each.path_prefix(),
                             std::chrono::milliseconds{each.retry_after_ms()},
                             each.requires_key()});
  }
  std::optional<admission::id_filter> filter;
  if (pong.has_shed_filter()) {
    filter.emplace(pong.shed_filter(), pong.shed_version());
  }
  shed_.Apply(std::move(window), filter ? &*filter : nullptr, lease_from);
}

template <typename Ports>
bool node<Ports>::RefuseShedCall(const std::shared_ptr<forwarded_call>& call) {
  const auto& request = call->request;
  if (request.method != "POST") {
    return false;
  }
  const auto retry_after =
      shed_.RetryTime({request.host, request.path, request.key.has_value()}, SuspendAwareNow());
  if (!retry_after) {
    return false;
  }
  const auto job = Ports::DecodeJob(request.body);
  if (job.has_error() || job.value().steps.front().service) {
    return false;  // the leader accepts services, and tells callers what it can't read
  }
  metrics_.Count("rosearch_calls_shed_total");
  log_.Write(LineAbout(*call, "call_refused", event_weight::kDetail)
                 .Add("reason", "queue_closed")
                 .Add("known_epoch", election_.KnownLeader().epoch));
  const auto seconds = std::chrono::ceil<std::chrono::seconds>(*retry_after).count();
  FinishCall(call, {429, {}, static_cast<std::uint32_t>(seconds), false});
  return true;
}

}  // namespace rosearch::cell

#endif  // ROSEARCH_CELL_INTERNAL_NODE_SHEDDING_H_
