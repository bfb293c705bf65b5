#ifndef ROSEARCH_CLI_FWD_H_
#define ROSEARCH_CLI_FWD_H_

namespace rosearch {

struct command;

}  // namespace rosearch

#endif  // ROSEARCH_CLI_FWD_H_
