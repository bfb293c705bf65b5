#ifndef ROSEARCH_API_ANSWERS_H_
#define ROSEARCH_API_ANSWERS_H_

#include <boost/json/value.hpp>
#include <string>
#include <vector>

#include "rosearch/config/fault.h"
#include "rosearch/core/error.h"
#include "rosearch/net/http_server.h"
#include "rosearch/wire/peer.pb.h"

namespace rosearch {

/// @return a JSON answer.
[[nodiscard]] http_response JsonResponse(unsigned status, const boost::json::value& body);

/// @return the one shape of an error towards callers: kind, outcome, detail and, where asking again
///   may help, how long to wait; the status is that of the table of error kinds.
[[nodiscard]] http_response ErrorResponse(const error& why);

/// @return the answer to a document with faults.
[[nodiscard]] http_response FaultsResponse(const std::vector<config::fault>& faults);

/// @return a target's whole answer, or the error that stands for it.
[[nodiscard]] http_response RequestResponse(const wire::call_answer& answer,
                                            const std::string& rule);

/// @return a job as callers see it.
[[nodiscard]] boost::json::value JobJson(const wire::job_snapshot& job);

/// @return faults as JSON.
[[nodiscard]] boost::json::value FaultsJson(const std::vector<config::fault>& faults);

}  // namespace rosearch

#endif  // ROSEARCH_API_ANSWERS_H_
