#include "rosearch/platform/worker_client.h"

#include <utility>

#include "rosearch/platform/answer.h"

namespace rosearch {

worker_client::worker_client(http_client& http) : http_{http} {}

void worker_client::Exchange(const std::string& address, const wire::worker_command& command,
                             time_point valid_until, time_point answer_by, worker_callback done) {
  http_request request{.address = address,
                       .method = "POST",
                       .target = "/v1/exchange",
                       .body = ToJson(command),
                       .content_type = std::string{kJsonType},
                       .valid_until = valid_until,
                       .answer_by = answer_by,
                       .traffic = &traffic_};
  http_.Send(std::move(request), [done = std::move(done)](const result<http_reply>& answer) {
    done(internal::ReadAnswer<wire::worker_report>(answer));
  });
}

}  // namespace rosearch
