#include <glog/logging.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <cstdio>
#include <cxxopts.hpp>
#include <deque>
#include <fstream>
#include <iostream>
#include <string>
#include <vector>

#include "testbed/executor_stand_in.h"
#include "testbed/log_stand_in.h"
#include "testbed/stand_in.h"
#include "testbed/vm_list_stand_in.h"
#include "testbed/worker_stand_in.h"

namespace rosearch::testbed {
namespace {

constexpr int kExitFailed = 1;
constexpr int kExitUsage = 2;

cxxopts::Options MakeOptions() {
  cxxopts::Options options{"rosearch_testbed", "Stand-ins for the platform, on 127.0.0.1."};
  auto add = options.add_options();
  add("role", "log, vms, worker, workers, executor or executors", cxxopts::value<std::string>());
  add("port", "port, the first of several; 0 picks free ones",
      cxxopts::value<std::uint16_t>()->default_value("0"));
  add("port-file", "file to write the ports to, one a line", cxxopts::value<std::string>());
  add("count", "workers, executors: how many", cxxopts::value<std::uint16_t>()->default_value("1"));
  add("processors-milli", "worker: thousandths of a processor",
      cxxopts::value<std::int64_t>()->default_value("16000"));
  add("memory-mb", "worker: megabytes", cxxopts::value<std::int64_t>()->default_value("65536"));
  add("accelerators", "worker: accelerators", cxxopts::value<std::int64_t>()->default_value("0"));
  add("slots", "executor: requests at once", cxxopts::value<std::uint64_t>()->default_value("8"));
  add("help", "show this text");
  options.parse_positional({"role"});
  options.positional_help("ROLE");
  return options;
}

/// Writes the ports under another name first, so that a reader never sees half of them.
bool WritePorts(const std::string& file, const std::vector<std::uint16_t>& ports) {
  const auto draft = file + ".new";
  {
    std::ofstream out{draft};
    for (const auto port : ports) {
      out << port << '\n';
    }
    if (!out.flush()) {
      return false;
    }
  }
  return std::rename(draft.c_str(), file.c_str()) == 0;
}

int RunUntilStopped(boost::asio::io_context& io, const cxxopts::ParseResult& settings,
                    const std::vector<std::uint16_t>& ports) {
  if (settings.count("port-file") > 0 &&
      !WritePorts(settings["port-file"].as<std::string>(), ports)) {
    LOG(ERROR) << "event=port_file_failed";
    return kExitFailed;
  }
  LOG(INFO) << "event=started role=" << settings["role"].as<std::string>()
            << " first_port=" << ports.front() << " count=" << ports.size();
  boost::asio::signal_set signals{io, SIGTERM, SIGINT};
  signals.async_wait([&io](boost::system::error_code, int) { io.stop(); });
  io.run();
  return 0;
}

/// Runs as many stand-ins of one kind on consecutive ports as the settings say.
template <typename Logic, typename... Args>
int Serve(const cxxopts::ParseResult& settings, std::uint16_t count, const Args&... args) {
  boost::asio::io_context io{1};
  std::deque<stand_in<Logic>> servers;
  std::vector<std::uint16_t> ports;
  const auto first = settings["port"].as<std::uint16_t>();
  for (std::uint16_t number = 0; number < count; ++number) {
    const auto port = static_cast<std::uint16_t>(first == 0 ? 0 : first + number);
    servers.emplace_back(io, port, args...);
    ports.push_back(servers.back().port());
  }
  return RunUntilStopped(io, settings, ports);
}

int Run(const cxxopts::ParseResult& settings) {
  const auto role = settings["role"].as<std::string>();
  const bool several = role.ends_with("rs");
  const auto count = several ? settings["count"].as<std::uint16_t>() : std::uint16_t{1};
  if (role == "log") {
    return Serve<log_stand_in>(settings, 1);
  }
  if (role == "vms") {
    return Serve<vm_list_stand_in>(settings, 1);
  }
  if (role == "worker" || role == "workers") {
    const resources holds{settings["processors-milli"].as<std::int64_t>(),
                          settings["memory-mb"].as<std::int64_t>(),
                          settings["accelerators"].as<std::int64_t>()};
    return Serve<worker_stand_in>(settings, count, holds);
  }
  if (role == "executor" || role == "executors") {
    return Serve<executor_stand_in>(settings, count, settings["slots"].as<std::uint64_t>());
  }
  std::cerr << "unknown role: " << role << '\n';
  return kExitUsage;
}

int Main(int argc, char** argv) {
  auto options = MakeOptions();
  cxxopts::ParseResult settings;
  try {
    settings = options.parse(argc, argv);
  } catch (const cxxopts::exceptions::exception& wrong) {
    std::cerr << wrong.what() << '\n';
    return kExitUsage;
  }
  if (settings.count("help") > 0) {
    std::cout << options.help();
    return 0;
  }
  if (settings.count("role") == 0 || settings["count"].as<std::uint16_t>() == 0) {
    std::cerr << options.help();
    return kExitUsage;
  }
  try {
    return Run(settings);
  } catch (const boost::system::system_error& failed) {
    LOG(ERROR) << "event=start_failed cause=\"" << failed.what() << '"';
    return kExitFailed;
  }
}

}  // namespace
}  // namespace rosearch::testbed

int main(int argc, char** argv) {
  google::InitGoogleLogging(argv[0]);
  FLAGS_logtostderr = true;
  return rosearch::testbed::Main(argc, argv);
}
