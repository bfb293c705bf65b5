#ifndef ROSEARCH_API_FWD_H_
#define ROSEARCH_API_FWD_H_

namespace rosearch {

struct request_headers;

}  // namespace rosearch

#endif  // ROSEARCH_API_FWD_H_
