#define CATCH_CONFIG_RUNNER
#include <glog/logging.h>

#include <catch2/catch.hpp>

int main(int argc, char** argv) {
  google::InitGoogleLogging(argv[0]);
  FLAGS_logtostderr = true;
  FLAGS_minloglevel = google::GLOG_ERROR;
  return Catch::Session().run(argc, argv);
}
