#ifndef ROSEARCH_METRICS_FWD_H_
#define ROSEARCH_METRICS_FWD_H_

namespace rosearch {

class metric_set;

}  // namespace rosearch

#endif  // ROSEARCH_METRICS_FWD_H_
