#ifndef ROSEARCH_CELL_INTERNAL_NODE_CALLERS_H_
#define ROSEARCH_CELL_INTERNAL_NODE_CALLERS_H_

// Forwarding of callers' requests to the leader. Included by node.h.

#include "rosearch/cell/node.h"

namespace rosearch::cell {

template <typename Ports>
void node<Ports>::HandleCall(http_call call, http_respond respond) {
  const auto timeout = Ports::CallerTimeout(call.headers).value_or(kDefaultCallerTimeout);
  const auto now = SteadyNow();
  auto pending = std::make_shared<forwarded_call>();
  auto host = call.headers["host"];
  host = host.substr(0, host.rfind(':'));
  for (auto& letter : host) {
    letter = static_cast<char>(std::tolower(static_cast<unsigned char>(letter)));
  }
  pending->request = {std::move(call.method), std::move(host), std::move(call.path),
                      std::move(call.body)};
  if (const auto key = Ports::CallerKey(call.headers)) {
    pending->request.key = sched::key_digest::Of(*key);
  }
  pending->received_at = now;
  pending->answer_deadline = now + std::min(timeout - kAnswerMargin, kForwardTimeout);
  pending->refuse_at = now + kLeaderTimeout;
  pending->respond = std::move(respond);
  ++calls_in_flight_;
  Forward(pending);
}

/// Returns the metric label of an HTTP method. Unknown methods share one label, so that callers
/// can't create an unlimited number of time series.
inline std::string_view MethodLabel(std::string_view method) {
  const bool known = method == "POST" || method == "GET" || method == "DELETE";
  return known ? method : "other";
}

template <typename Ports>
event_line node<Ports>::LineAbout(const forwarded_call& call, std::string_view event,
                                  event_weight weight) {
  constexpr std::size_t kMaxPathBytes = 160;  // far above any job's; a head may hold much more
  const auto path = std::string_view{call.request.path}.substr(0, kMaxPathBytes);
  event_line line{event, weight};
  line.Add("job", path.substr(path.rfind('/') + 1))
      .Add("method", MethodLabel(call.request.method))
      .Add("path", path);
  return line;
}

template <typename Ports>
void node<Ports>::FinishCall(const std::shared_ptr<forwarded_call>& call,
                             const caller_answer& answer) {
  --calls_in_flight_;
  http_response response;
  response.status = answer.status;
  response.body = answer.body;
  if (answer.retry_after_s > 0) {
    response.headers["Retry-After"] = std::to_string(answer.retry_after_s);
  }
  metrics_.Count(Labelled("rosearch_answers_total", "method", MethodLabel(call->request.method),
                          "status", std::to_string(answer.status)));
  const bool is_query = call->request.method == "GET";
  log_.Write(
      LineAbout(*call, "call_answered", is_query ? event_weight::kDetail : event_weight::kRequest)
          .Add("status", answer.status)
          .Add("retry_after_s", answer.retry_after_s)
          .Add("took_ms", SteadyNow() - call->received_at));
  call->respond(std::move(response));
}

template <typename Ports>
void node<Ports>::RetryForward(const std::shared_ptr<forwarded_call>& call) {
  const auto now = SteadyNow();
  if (!call->maybe_processed && now >= call->refuse_at) {
    log_.Write(LineAbout(*call, "call_refused", event_weight::kFailure)
                   .Add("reason", "no_leader")
                   .Add("known_epoch", election_.KnownLeader().epoch));
    FinishCall(call, {503, {}, 1, false});
    return;
  }
  if (now >= call->answer_deadline) {
    // A leader may have accepted the job, so this is no refusal; the caller finds out by retrying.
    log_.Write(LineAbout(*call, "call_unanswered", event_weight::kFailure)
                   .Add("known_epoch", election_.KnownLeader().epoch));
    FinishCall(call, {504, {}, 0, false});
    return;
  }
  auto timer = std::make_shared<boost::asio::steady_timer>(io_, kForwardRetryInterval);
  timer->async_wait([this, call, timer](const boost::system::error_code&) { Forward(call); });
}

template <typename Ports>
void node<Ports>::Forward(const std::shared_ptr<forwarded_call>& call) {
  const auto now = SteadyNow();
  const auto time_left = call->answer_deadline - now;
  const auto on_answer = [this, call](const caller_answer& answer) {
    if (answer.not_leading) {
      call->maybe_processed = call->maybe_processed || answer.status == kMayBeStored;
      RetryForward(call);
    } else {
      FinishCall(call, answer);
    }
  };
  if (leader_ && leader_->Serving()) {
    leader_->Handle(call->request, time_left, on_answer);
    return;
  }
  if (leader_ || election_.KnownLeader().epoch == 0 || time_left <= duration{} ||
      !election_.LeaderReachable(now)) {
    RetryForward(call);
    return;
  }
  wire::peer_frame frame;
  frame.set_epoch(election_.KnownLeader().epoch);
  auto& sent = *frame.mutable_call();
  sent.set_method(call->request.method);
  sent.set_host(call->request.host);
  sent.set_path(call->request.path);
  sent.set_body(call->request.body);
  sent.set_time_left_ms(Millis(time_left));
  sent.set_key_forwarded(true);
  if (call->request.key) {
    sent.set_key_digest(call->request.key->bytes());
  }
  log_.Write(LineAbout(*call, "call_forwarded", event_weight::kDetail)
                 .Add("leader", election_.KnownLeader().address)
                 .Add("epoch", election_.KnownLeader().epoch)
                 .Add("heard_ms_ago", now - election_.LastAnswerAt())
                 .Add("left_ms", time_left));
  // The request is not sent as a new one while the leader is late: it ends with the caller's
  // patience, or by `EndRequests` as soon as another process leads.
  peers_.SendRequest(
      election_.KnownLeader().address, std::move(frame), call->answer_deadline,
      [this, call, on_answer, now](const wire::peer_frame* answer) {
        // An answer to a repeat says nothing about the first copy: the process at that address may
        // have accepted the job, failed and started again.
        const bool may_be_repeat = SteadyNow() - now >= peer_link::kFirstRetryDelay;
        call->maybe_processed = call->maybe_processed || may_be_repeat;
        if (answer == nullptr) {
          call->maybe_processed = true;
          RetryForward(call);
          return;
        }
        const auto& reply = answer->answer();
        on_answer({reply.status(), reply.body(), reply.retry_after_s(), reply.not_leading()});
      });
}

template <typename Ports>
void node<Ports>::AnswerCall(const wire::peer_frame& frame) {
  wire::peer_frame origin;
  origin.set_exchange(frame.exchange());
  origin.set_from(frame.from());
  const auto reply = [this, origin](const caller_answer& answer) {
    wire::peer_frame sent;
    sent.set_epoch(election_.KnownLeader().epoch);
    auto& body = *sent.mutable_answer();
    body.set_status(answer.status);
    body.set_body(answer.body);
    body.set_retry_after_s(answer.retry_after_s);
    body.set_not_leading(answer.not_leading);
    peers_.Answer(origin, std::move(sent));
  };
  if (!leader_) {
    reply({503, {}, 0, true});
    return;
  }
  const auto& call = frame.call();
  leader_->Handle({call.method(), call.host(), call.path(), call.body(),
                   sched::key_digest::FromBytes(call.key_digest()), !call.key_forwarded()},
                  std::chrono::milliseconds{call.time_left_ms()}, reply);
}

}  // namespace rosearch::cell

#endif  // ROSEARCH_CELL_INTERNAL_NODE_CALLERS_H_
