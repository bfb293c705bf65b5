#ifndef ROSEARCH_NET_HTTP_CALL_H_
#define ROSEARCH_NET_HTTP_CALL_H_

#include <functional>
#include <map>
#include <string>

namespace rosearch {

/// An answer to one HTTP request.
struct http_response {
  unsigned status{200};
  std::string body;
  std::string content_type{"application/json"};
  std::map<std::string, std::string> headers{};
};

/// One request from a client.
struct http_call {
  std::string method;
  std::string path;                            ///< without the query
  std::map<std::string, std::string> query;    ///< percent-decoded
  std::map<std::string, std::string> headers;  ///< names in lower case; no trailers
  std::string body;
};

/// Answers one call; called once, from any thread.
using http_respond = std::function<void(http_response)>;

/// Takes one call; called on a thread of the server's io_context.
using http_handler = std::function<void(http_call, http_respond)>;

}  // namespace rosearch

#endif  // ROSEARCH_NET_HTTP_CALL_H_
