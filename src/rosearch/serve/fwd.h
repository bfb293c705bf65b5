#ifndef ROSEARCH_SERVE_FWD_H_
#define ROSEARCH_SERVE_FWD_H_

namespace rosearch {

class entry_ports;

}  // namespace rosearch

#endif  // ROSEARCH_SERVE_FWD_H_
