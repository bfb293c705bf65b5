#include "rosearch/platform/executor_client.h"

#include <string>
#include <utility>

#include "rosearch/platform/answer.h"

namespace rosearch {

executor_client::executor_client(http_client& http) : http_{http} {}

void executor_client::Run(const executor_call& call, executor_callback done) {
  http_request request{.address = call.address,
                       .method = "POST",
                       .target = call.path,
                       .body = call.body,
                       .content_type = call.content_type,
                       .headers = call.headers,
                       .valid_until = call.valid_until,
                       .answer_by = call.answer_by,
                       .max_answer_bytes = call.max_answer_bytes,
                       .idempotent = call.idempotent,
                       .traffic = &traffic_};
  request.headers.push_back({std::string{kRequestIdHeader}, call.request_id});
  http_.Send(std::move(request), [done = std::move(done)](result<http_reply> answer) {
    if (answer.has_value() && internal::SaysNotRun(answer.value())) {
      done(error{error_kind::kTargetRefused, answer.value().body});
      return;
    }
    done(std::move(answer));
  });
}

}  // namespace rosearch
