#include <glog/logging.h>

#include <cxxopts.hpp>
#include <fstream>
#include <iostream>
#include <sstream>

#include "rosearch/cli/commands.h"
#include "rosearch/config/settings.h"
#include "rosearch/serve/serve.h"

namespace rosearch {
namespace {

int RunServe(const std::vector<std::string>& words) {
  cxxopts::Options options{"rosearch serve",
                           "Runs an entry until SIGTERM.\n\nExample: rosearch "
                           "serve --settings entry.json --instance 17\n"};
  options.add_options()("settings", "settings file (JSON)", cxxopts::value<std::string>())(
      "instance", "instance of this VM, as the platform's VM list shows it",
      cxxopts::value<std::uint64_t>())("help", "show this text");
  try {
    std::vector<const char*> argv{"serve"};
    for (const auto& word : words) {
      argv.push_back(word.c_str());
    }
    const auto parsed = options.parse(static_cast<int>(argv.size()), argv.data());
    if (parsed.count("help") > 0) {
      std::cout << options.help();
      return kExitOk;
    }
    std::ifstream file{parsed["settings"].as<std::string>()};
    std::ostringstream text;
    text << file.rdbuf();
    const auto settings = config::ParseSettings(text.str());
    if (!settings.value) {
      std::cerr << config::ToString(settings.faults) << '\n';
      return kExitInvalid;
    }
    FLAGS_log_dir = settings.value->log.dir;
    FLAGS_logtostderr = settings.value->log.dir.empty();
    return Serve(*settings.value, parsed["instance"].as<std::uint64_t>());
  } catch (const cxxopts::exceptions::exception& wrong) {
    std::cerr << wrong.what() << '\n' << options.help();
    return kExitUsage;
  }
}

const command_registrar kServe{{"serve", "run an entry", RunServe}};

}  // namespace
}  // namespace rosearch
