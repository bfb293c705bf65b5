#ifndef ROSEARCH_CLI_FWD_H_
#define ROSEARCH_CLI_FWD_H_

namespace rosearch {

class api_client;
class command_line;
class job_options;
struct api_request;
struct client_options;
struct command;

}  // namespace rosearch

#endif  // ROSEARCH_CLI_FWD_H_
