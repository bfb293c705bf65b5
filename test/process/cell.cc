#include "process/cell.h"

#include <glog/logging.h>
#include <unistd.h>

#include <algorithm>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <catch2/catch.hpp>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <sstream>
#include <thread>
#include <utility>

#include "rosearch/platform/clock.h"
#include "rosearch/platform/http_client.h"
#include "rosearch/shard/task_key.h"

namespace rosearch::test {
namespace {

namespace json = boost::json;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr milliseconds kLook{20};
constexpr seconds kAnswerLimit{30};
constexpr milliseconds kSettled{500};  ///< moves of a shard take less
constexpr const char* kCustomer = "calandria";
constexpr const char* kHolds = R"(,"holds":{"processors_milli":16000,"memory_mb":65536})";

std::string Loopback(std::uint16_t port) { return "127.0.0.1:" + std::to_string(port); }

/// Below the range from which outgoing connections take their ports: one of those may take a port
/// between this look and the entry's start, or while the entry is down.
std::uint16_t FreePort() {
  constexpr int kFirst = 20'000;
  constexpr int kCount = 12'000;
  static int next = getpid() * 40 % kCount;
  boost::asio::io_context io;
  for (int tries = 0; tries < kCount; ++tries) {
    const auto port = static_cast<std::uint16_t>(kFirst + next++ % kCount);
    boost::asio::ip::tcp::socket socket{io, boost::asio::ip::tcp::v4()};
    boost::system::error_code failed;
    socket.bind({boost::asio::ip::address_v4::loopback(), port}, failed);
    if (!failed) {
      return port;
    }
  }
  LOG(FATAL) << "no free port";
}

std::string ReadFile(const std::filesystem::path& path) {
  const std::ifstream file{path};
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

json::value Parsed(const std::string& text) {
  json::error_code failed;
  auto value = json::parse(text, failed);
  return failed ? json::value{} : value;
}

}  // namespace

json::value reply::Json() const { return Parsed(body); }

std::string reply::Kind() const {
  const auto whole = Json();
  const auto* const shape = whole.is_object() ? whole.get_object().if_contains("error") : nullptr;
  return shape == nullptr ? std::string{} : std::string{shape->at("kind").as_string()};
}

std::string ToText(const reply& answer) {
  return std::to_string(answer.status) + ' ' + answer.outcome + ' ' + answer.failure + ' ' +
         answer.body;
}

std::string Rules(const std::string& label) {
  return R"({"customers": [{"name": "calandria", "quota": {"processors_milli": 64000, "memory_mb": 262144}}],
  "rules": [
    {"name": "quotes", "match": {"customer": "calandria", "kind": "request", "label": ")" +
         label + R"("}, "treat": {"policy": "quick", "retries": 2, "idempotent": true}},
    {"name": "orders", "match": {"customer": "calandria", "kind": "request"}, "treat": {"idempotent": false}},
    {"name": "jobs", "match": {"customer": "calandria"}, "treat": {"retries": 1}}]})";
}

std::string UnixMs() {
  const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
  return std::to_string(std::chrono::duration_cast<milliseconds>(since_epoch).count());
}

/// The test's own connections, served by a thread of their own.
class cell::client {
 public:
  client() : thread_{[this] { io_.run(); }} {}
  ~client() {
    io_.stop();
    thread_.join();
  }
  client(const client&) = delete;
  client& operator=(const client&) = delete;

  [[nodiscard]] std::future<reply> Send(http_request request) {
    auto promise = std::make_shared<std::promise<reply>>();
    auto future = promise->get_future();
    request.answer_by = SteadyNow() + kAnswerLimit;
    http_.Send(std::move(request), [promise](const result<http_reply>& answer) {
      reply told;
      if (answer.has_error()) {
        told.failure = std::string{AnswerFor(answer.error().kind).name};
      } else {
        told.status = answer.value().status;
        told.body = answer.value().body;
        told.outcome = std::string{FindHeader(answer.value().headers, "Rosearch-Outcome")};
      }
      promise->set_value(std::move(told));
    });
    return future;
  }

 private:
  boost::asio::io_context io_;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work_{
      io_.get_executor()};
  http_client http_{io_};
  std::thread thread_;
};

cell::cell(const cell_shape& shape) : shape_{shape}, client_{std::make_unique<client>()} {
  auto name = (std::filesystem::temp_directory_path() / "rosearch-cell-XXXXXX").string();
  PCHECK(mkdtemp(name.data()) != nullptr);
  folder_ = name;
  const auto counted = [](const std::string& role, int count) {
    return std::vector<std::string>{role, "--count", std::to_string(count)};
  };
  StartStandIn("log", {"log"});
  StartStandIn("vms", {"vms"});
  auto workers = counted("workers", shape.workers);
  workers.insert(workers.end(), {"--processors-milli", "16000", "--memory-mb", "65536"});
  StartStandIn("workers", workers);
  auto executors = counted("executors", shape.executors);
  executors.insert(executors.end(), {"--slots", std::to_string(shape.slots)});
  StartStandIn("executors", executors);
  for (int number = 1; number <= shape.workers; ++number) {
    SetVm("worker-" + std::to_string(number), "VM_WORKER", StandInAddress("workers", number),
          number, kHolds);
  }
  for (int number = 1; number <= shape.executors; ++number) {
    SetVm("executor-" + std::to_string(number), "VM_EXECUTOR", StandInAddress("executors", number),
          number, R"(,"connections":60,"service":"fuel","slots":)" + std::to_string(shape.slots));
  }
  for (int entry = 1; entry <= shape.entries; ++entry) {
    StartEntry(entry);
  }
  for (int entry = 1; entry <= shape.entries; ++entry) {
    Until("entry ready", [&] { return Ready(entry); });
  }
  const auto published = Publish(1, "first", 0, Rules(), "?wait_ms=15000");
  INFO(ToText(published));
  REQUIRE(published.status == 200);
  UntilServed();
}

cell::~cell() {
  // An invariant that an entry found broken ends its process; the case must not pass then.
  for (const auto& [entry, place] : entries_) {
    const bool crashed = place.process->Crashed();
    if (crashed) {
      UNSCOPED_INFO("entry-" << entry << ":\n" << ReadFile(place.process->log()));
    }
    CHECK_FALSE(crashed);
  }
  entries_.clear();
  stand_ins_.clear();
  std::error_code ignored;
  std::filesystem::remove_all(folder_, ignored);
}

void cell::StartStandIn(const std::string& role, const std::vector<std::string>& arguments) {
  const auto port_file = folder_ / (role + ".port");
  std::vector<std::string> command{std::string{ROSEARCH_BIN_DIR} + "/rosearch_testbed"};
  command.insert(command.end(), arguments.begin(), arguments.end());
  command.insert(command.end(), {"--port-file", port_file.string()});
  stand_ins_[role] = std::make_unique<child>(command, (folder_ / (role + ".log")).string());
  Until(role, [&] { return std::filesystem::exists(port_file); });
  std::ifstream file{port_file};
  for (std::uint16_t port = 0; file >> port;) {
    ports_[role].push_back(port);
  }
}

std::string cell::Settings(int entry) const {
  const auto& place = entries_.at(entry);
  const auto number = std::to_string(entry);
  std::ostringstream text;
  text
      << R"({"entry": {"name": "entry-)" << number
      << R"(", "region": "south", "failure_domain": "fd-)" << number
      << R"("}, "http": {"threads": 2, "header_timeout_ms": 1000, "body_timeout_ms": 1000, "port": )"
      << place.http << R"(, "max_body_bytes": )" << shape_.max_body_bytes
      << R"(}, "peer": {"port": )" << place.peer << R"(}, "platform": {"log": [")"
      << StandInAddress("log") << R"("], "vm_list": ")" << StandInAddress("vms")
      << R"(", "connect_timeout_ms": 500, "answer_timeout_ms": 1500, "log_poll_ms": 300,
           "vm_list_poll_ms": 200, "vm_list_lag_ms": 500},
          "cell": {"regions": [{"name": "south", "shards": )"
      << shape_.shards << R"(}]},
          "rights": {"right_ms": 1000, "renew_ms": 200, "proof_ms": 1000},
          "heartbeat": {"interval_ms": 200, "missed": 5},
          "leases": {"lease_ms": 8000, "renew_ms": 1000},
          "stop": {"unready_ms": 300, "grace_ms": 20000}})";
  return text.str();
}

void cell::StartEntry(int entry) {
  auto& place = entries_[entry];
  if (place.http == 0) {
    place.http = FreePort();
    place.peer = FreePort();
  }
  ++place.instance;
  const auto name = "entry-" + std::to_string(entry);
  const auto settings = folder_ / (name + ".json");
  std::ofstream{settings} << Settings(entry);
  const auto instance = entry + 100 * place.instance;
  SetVm(name, "VM_ENTRY", Loopback(place.peer), instance);
  place.process = std::make_unique<child>(
      std::vector<std::string>{std::string{ROSEARCH_BIN_DIR} + "/rosearch", "serve", "--settings",
                               settings.string(), "--instance", std::to_string(instance)},
      (folder_ / (name + ".log")).string());
}

void cell::Lose(int entry) {
  Entry(entry).Kill();
  const auto body = R"({"vms":[{"vm":"entry-)" + std::to_string(entry) + "\"}]}";
  REQUIRE(Send(StandInAddress("vms"), "POST", "/v1/remove", body).get().status == 200);
}

void cell::Freeze(int entry) {
  entries_.at(entry).process->Signal(SIGSTOP);
  entries_.at(entry).frozen = true;
}

void cell::Thaw(int entry) {
  entries_.at(entry).process->Signal(SIGCONT);
  entries_.at(entry).frozen = false;
}

void cell::SetVm(const std::string& name, const std::string& kind, const std::string& address,
                 int number, const std::string& more) {
  const auto domain = std::to_string(number % 100);
  const auto body = R"({"vms":[{"vm":")" + name + R"(","kind":")" + kind + R"(","address":")" +
                    address + R"(","region":"south","failure_domain":"fd-)" + domain +
                    R"(","rack":"rack-)" + domain + R"(","instance":)" + std::to_string(number) +
                    more + "}]}";
  const auto answer = Send(StandInAddress("vms"), "POST", "/v1/set", body).get();
  INFO(ToText(answer) << ' ' << body);
  REQUIRE(answer.status == 200);
}

void cell::Fault(const std::string& role, const std::string& fault, int number) {
  REQUIRE(Send(StandInAddress(role, number), "POST", "/fault", fault).get().status == 200);
}

std::string cell::EntryAddress(int entry) const { return Loopback(entries_.at(entry).http); }

std::string cell::StandInAddress(const std::string& role, int number) const {
  return Loopback(ports_.at(role).at(static_cast<std::size_t>(number) - 1));
}

std::future<reply> cell::Send(const std::string& address, const std::string& method,
                              const std::string& target, const std::string& body,
                              const header_map& headers) {
  http_request request;
  request.address = address;
  request.method = method;
  request.target = target;
  request.body = body;
  request.idempotent = method == "GET";
  for (const auto& [name, value] : headers) {
    request.headers.push_back({name, value});
  }
  return client_->Send(std::move(request));
}

std::future<reply> cell::SendTo(int entry, const std::string& method, const std::string& target,
                                const std::string& body, const header_map& headers) {
  return Send(EntryAddress(entry), method, target, body, headers);
}

reply cell::Ask(int entry, const std::string& method, const std::string& target,
                const std::string& body, const header_map& headers) {
  return SendTo(entry, method, target, body, headers).get();
}

std::future<reply> cell::Order(int entry, const std::string& id, const std::string& issued,
                               const std::string& body) {
  return SendTo(
      entry, "POST", "/v1/requests/fuel/order", body,
      {{"Rosearch-Customer", kCustomer}, {"Rosearch-Request", id}, {"Rosearch-Issued-At", issued}});
}

std::future<reply> cell::Quote(int entry, const std::string& body) {
  return SendTo(entry, "POST", "/v1/requests/fuel/quote", body,
                {{"Rosearch-Customer", kCustomer}, {"Rosearch-Label", "quote"}});
}

reply cell::Submit(int entry, const std::string& job, int count, int run_ms,
                   const std::string& more) {
  const auto body = std::string{R"({"customer":")"} + kCustomer + R"(","job":")" + job +
                    R"(","count":)" + std::to_string(count) + R"(,"run_ms":)" +
                    std::to_string(run_ms) +
                    R"(,"needs":{"processors_milli":1000,"memory_mb":1024})" + more + "}";
  return Ask(entry, "POST", "/v1/jobs", body);
}

reply cell::Publish(int entry, const std::string& change, int replaces, const std::string& document,
                    const std::string& query) {
  return Ask(entry, "POST", "/v1/configuration" + query, document,
             {{"Rosearch-Change", change}, {"Rosearch-Replaces", std::to_string(replaces)}});
}

json::value cell::Get(const std::string& address, const std::string& target) {
  return Send(address, "GET", target).get().Json();
}

std::int64_t cell::Runs(const std::string& request) {
  std::int64_t sum = 0;
  for (int number = 1; number <= shape_.executors; ++number) {
    const auto all = Get(StandInAddress("executors", number), "/runs");
    const auto* const count = all.at("runs").as_object().if_contains(request);
    sum += count == nullptr ? 0 : count->to_number<std::int64_t>();
  }
  return sum;
}

std::int64_t cell::Starts(const std::string& prefix, int worker) {
  std::int64_t sum = 0;
  for (int number = 1; number <= shape_.workers; ++number) {
    if (worker != 0 && number != worker) {
      continue;
    }
    const auto told = Get(StandInAddress("workers", number), "/starts");
    for (const auto& start : told.at("starts").as_array()) {
      sum += start.at("task").as_string().starts_with(prefix) ? 1 : 0;
    }
  }
  return sum;
}

std::int64_t cell::WorkerSum(const std::string& figure) {
  std::int64_t sum = 0;
  for (int number = 1; number <= shape_.workers; ++number) {
    sum += Get(StandInAddress("workers", number), "/stats").at(figure).to_number<std::int64_t>();
  }
  return sum;
}

void cell::CheckWorkers() {
  CHECK(WorkerSum("doubled") == 0);
  CHECK(WorkerSum("overcommitted_starts") == 0);
}

json::value cell::Dump(int entry) {
  auto& place = entries_.at(entry);
  const bool silent = place.frozen || place.process->ExitCode();
  return silent ? json::value{} : Get(EntryAddress(entry), "/v1/dump");
}

int cell::Owner(shard_number shard) {
  int owner = 0;
  for (const auto& [entry, place] : entries_) {
    const auto dump = Dump(entry);
    if (dump.is_object() && dump.at("shards").at(shard).at("serving").as_bool()) {
      owner = entry;
    }
  }
  return owner;
}

int cell::SettledOwner(shard_number shard) {
  int owner = 0;
  auto since = SteadyNow();
  Until("lasting owner of shard " + std::to_string(shard), [&] {
    const int now = Owner(shard);
    if (std::exchange(owner, now) != now) {
      since = SteadyNow();
    }
    return owner != 0 && SteadyNow() - since >= kSettled;
  });
  return owner;
}

std::set<shard_number> cell::OwnedBy(int entry) {
  std::set<shard_number> owned;
  const auto dump = Dump(entry);
  for (shard_number shard = 0; dump.is_object() && shard < shape_.shards; ++shard) {
    if (dump.at("shards").at(shard).at("serving").as_bool()) {
      owned.insert(shard);
    }
  }
  return owned;
}

int cell::OwnerOfVm(const std::string& worker) {
  for (const auto& [entry, place] : entries_) {
    const auto dump = Dump(entry);
    for (const auto shard : OwnedBy(entry)) {
      const auto* const pool = dump.at("shards").at(shard).as_object().if_contains("vms");
      const auto text = pool == nullptr ? std::string{} : json::serialize(pool->at("vms"));
      if (text.find('"' + worker + '"') != std::string::npos) {
        return entry;
      }
    }
  }
  return 0;
}

std::set<shard_number> cell::Witnessed() {
  std::set<shard_number> found;
  for (const auto& [entry, place] : entries_) {
    const auto dump = Dump(entry);
    for (shard_number shard = 0; dump.is_object() && shard < shape_.shards; ++shard) {
      const auto& row = dump.at("shards").at(shard);
      if (row.at("serving").as_bool() && row.at("witness_in_step").as_bool()) {
        found.insert(shard);
      }
    }
  }
  return found;
}

bool cell::LogDownEverywhere() {
  return std::ranges::all_of(entries_, [&](const auto& item) {
    const auto dump = Dump(item.first);
    return !dump.is_object() || !dump.at("log_up").as_bool();
  });
}

int cell::OpenAnywhere(const std::string& vm) {
  int open = 0;
  const auto count = [&](const json::value& rows) {
    for (const auto& row : rows.as_array()) {
      open += row.at("vm").as_string() == vm && row.at("open").as_bool() ? 1 : 0;
    }
  };
  for (const auto& [entry, place] : entries_) {
    const auto dump = Dump(entry);
    for (shard_number shard = 0; dump.is_object() && shard < shape_.shards; ++shard) {
      const auto& row = dump.at("shards").at(shard);
      if (row.at("serving").as_bool()) {
        count(row.at("executors").at("executors"));
        count(row.at("vms").at("vms"));
      }
    }
  }
  return open;
}

int cell::Outcomes(int entry, const std::string& job, const std::string& outcome) {
  const auto state = Ask(entry, "GET", std::string{"/v1/jobs/"} + kCustomer + '/' + job).Json();
  int found = 0;
  for (const auto& task : state.at("tasks").as_array()) {
    const auto* const told = task.as_object().if_contains("outcome");
    found += told != nullptr && told->as_string() == outcome ? 1 : 0;
  }
  return found;
}

int cell::Accepted(int entry, const std::string& change) {
  const auto history = Get(EntryAddress(entry), "/v1/configuration/history");
  int found = 0;
  for (const auto& row : history.at("changes").as_array()) {
    found += row.at("change").as_string() == change && row.at("effect").as_string() == "accepted";
  }
  return found;
}

std::int64_t cell::ExecutorRuns(int executor) {
  return Get(StandInAddress("executors", executor), "/stats").at("runs").to_number<std::int64_t>();
}

shard_number cell::Home(const std::string& name) const {
  return HomeShard(kCustomer, name, shape_.shards);
}

bool cell::JobEnded(int entry, const std::string& job, int count) {
  const auto state = Ask(entry, "GET", std::string{"/v1/jobs/"} + kCustomer + '/' + job);
  if (state.status != 200) {
    return false;
  }
  const auto shape = state.Json();
  const auto* const ended = shape.at("counts").as_object().if_contains("ended");
  return ended != nullptr && ended->to_number<int>() == count;
}

std::int64_t cell::ConfigVersion(int entry) {
  const auto shape = Get(EntryAddress(entry), "/v1/configuration");
  return shape.is_object() ? shape.at("version").to_number<std::int64_t>() : -1;
}

bool cell::Ready(int entry) { return Ask(entry, "GET", "/readyz").status == 200; }

void cell::UntilServed() {
  Until("owner of each shard", [&] {
    for (shard_number shard = 0; shard < shape_.shards; ++shard) {
      if (Owner(shard) == 0) {
        return false;
      }
    }
    return true;
  });
}

void cell::UntilWitnessed() {
  Until("witness of each shard", [&] { return Witnessed().size() == shape_.shards; });
}

void cell::Until(const std::string& what, const std::function<bool()>& condition,
                 std::chrono::seconds limit) {
  const auto give_up = SteadyNow() + limit;
  while (!condition()) {
    if (SteadyNow() >= give_up) {
      FAIL("never: " << what << '\n' << Everything());
    }
    std::this_thread::sleep_for(kLook);
  }
}

std::string cell::Everything() {
  std::ostringstream text;
  for (auto& [entry, place] : entries_) {
    text << "entry-" << entry << " dump: " << json::serialize(Dump(entry)) << '\n'
         << ReadFile(place.process->log()) << '\n';
  }
  for (const auto& [role, process] : stand_ins_) {
    text << role << " log: " << ReadFile(process->log()) << '\n';
  }
  return text.str();
}

}  // namespace rosearch::test
