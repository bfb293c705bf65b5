#include <glog/logging.h>

#include <exception>

#include "rosearch/cli/command_line.h"
#include "rosearch/cli/commands.h"
#include "rosearch/cli/print.h"
#include "rosearch/config/settings.h"
#include "rosearch/serve/serve.h"

namespace rosearch {
namespace {

int ServeEntry(const cxxopts::ParseResult& parsed) {
  if (parsed.count("settings") == 0 || parsed.count("instance") == 0) {
    FailUsage("serve needs --settings and --instance");
  }
  const auto path = parsed["settings"].as<std::string>();
  const auto settings = config::ParseSettings(ReadFile(path));
  PrintFaults(path, settings.faults, output_format::kTable);
  if (!settings.value) {
    return kExitInvalid;
  }
  FLAGS_log_dir = settings.value->log.dir;
  FLAGS_logtostderr = settings.value->log.dir.empty();
  try {
    const auto port_file =
        parsed.count("port-file") == 0 ? std::string{} : parsed["port-file"].as<std::string>();
    return Serve(*settings.value, parsed["instance"].as<std::uint64_t>(), port_file);
  } catch (const std::exception& failed) {
    // An address that is taken: without a line that says so the process would end by a signal,
    // which looks like a broken invariant.
    LOG(ERROR) << "event=start_failed detail=" << failed.what();
    return kExitFailed;
  }
}

int RunServe(const std::vector<std::string>& words) {
  return command_line{"serve", "Runs an entry until SIGTERM.",
                      "serve --settings entry.json --instance 17"}
      .Option("settings", "settings file (JSON)", cxxopts::value<std::string>())
      .Option("instance", "instance of this VM, as the platform's VM list shows it",
              cxxopts::value<std::uint64_t>())
      .Option("port-file", "file to write the ports to, that of HTTP first, where settings say 0",
              cxxopts::value<std::string>())
      .Run(words, ServeEntry);
}

const command_registrar kServe{{"serve", "run an entry", RunServe}};

}  // namespace
}  // namespace rosearch
