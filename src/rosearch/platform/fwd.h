#ifndef ROSEARCH_PLATFORM_FWD_H_
#define ROSEARCH_PLATFORM_FWD_H_

namespace rosearch {

struct executor_call;
struct http_header;
struct http_options;
struct http_reply;
struct http_request;
class executor_client;
class http_client;
class log_client;
class vm_list_client;
class worker_client;

}  // namespace rosearch

#endif  // ROSEARCH_PLATFORM_FWD_H_
