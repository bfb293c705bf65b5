#include <glog/logging.h>

#include <string>
#include <vector>

#include "rosearch/cli/commands.h"

int main(int argc, char** argv) {
  google::InitGoogleLogging(argv[0]);
  FLAGS_logtostderr = true;
  return rosearch::RunCommand({argv + 1, argv + argc});
}
