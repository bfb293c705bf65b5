#include "rosearch/config/settings.h"

#include <algorithm>
#include <boost/json/array.hpp>
#include <chrono>
#include <set>
#include <utility>

#include "rosearch/config/document_reader.h"
#include "rosearch/config/json_values.h"

namespace rosearch::config {
namespace {

namespace json = boost::json;
using internal::Count;
using internal::Object;
using internal::Span;
using internal::Text;
using enum field_type;

constexpr std::int64_t kMaxName = 64;
constexpr std::int64_t kMaxHost = 255;
constexpr std::int64_t kMinuteMs = 60'000;
constexpr std::int64_t kHourMs = 60 * kMinuteMs;
constexpr std::int64_t kDayMs = 24 * kHourMs;
constexpr std::int64_t kMaxBytes = 1 << 30;
constexpr std::int64_t kMaxCount = 10'000'000;
constexpr std::uint32_t kMaxShards = 4096;

constexpr std::string_view kLevels[] = {"info", "warning", "error"};

constexpr field kEntryFields[] = {
    {"name", kText, kRequired, "", "Name of this entry, as the VM list has it.", 1, kMaxName},
    {"region", kText, kRequired, "", "Region of this entry; one of `cell.regions`.", 1, kMaxName},
    {"failure_domain", kText, kRequired, "", "Failure domain of this entry.", 1, kMaxName},
};
constexpr schema kEntry{kEntryFields};

constexpr field kHttpFields[] = {
    {"host", kText, "\"127.0.0.1\"", "", "IP number to listen at.", 1, kMaxHost},
    {"port", kNumber, "8080", "", "TCP port; 0 takes a free one.", 0, 65'535},
    {"advertised_host", kText, "\"\"", "", "IP number told to others; empty: `http.host`.", 0,
     kMaxHost},
    {"threads", kNumber, "4", "", "Threads that serve connections.", 1, 64},
    {"max_connections", kNumber, "1024", "",
     "Connections at once; a further one takes the place of the one that is worth least.", 1,
     100'000},
    {"memory_mb", kNumber, "0", "MB", "Memory that the process may use; 0: that of the machine.", 0,
     1'000'000},
    {"client_memory_mb", kNumber, "0", "MB",
     "Of it, what clients may make the process hold; 0: a fifth.", 0, 1'000'000},
    {"max_header_bytes", kNumber, "16384", "bytes", "Head of one request.", 1024, 1 << 20},
    {"max_body_bytes", kNumber, "1048576", "bytes", "Body of one request.", 1024, kMaxBytes},
    {"idle_ms", kNumber, "30000", "ms", "A connection without a request is closed after this.", 100,
     kHourMs},
    {"header_timeout_ms", kNumber, "5000", "ms", "From a request's first byte to its head's last.",
     100, kHourMs},
    {"body_timeout_ms", kNumber, "10000", "ms", "From a request's head to its body's last byte.",
     100, kHourMs},
};
constexpr schema kHttp{kHttpFields};

constexpr field kPeerFields[] = {
    {"host", kText, "\"127.0.0.1\"", "", "IP number to listen at for other entries.", 1, kMaxHost},
    {"port", kNumber, "8081", "", "TCP port; 0 takes a free one.", 0, 65'535},
    {"advertised_host", kText, "\"\"", "", "IP number told to others; empty: `peer.host`.", 0,
     kMaxHost},
    {"max_queued", kNumber, "10000", "messages", "Messages that wait for one peer.", 100,
     1'000'000},
};
constexpr schema kPeer{kPeerFields};

constexpr field kPlatformFields[] = {
    {"log", kTextList, kRequired, "", "Addresses of the log service, host:port, tried in order.", 1,
     16},
    {"vm_list", kText, kRequired, "", "Address of the VM list, host:port.", 1, kMaxHost},
    {"connect_timeout_ms", kNumber, "1000", "ms", "Until a connection counts as failed.", 10,
     kMinuteMs},
    {"answer_timeout_ms", kNumber, "3000", "ms", "Until an answer counts as lost.", 10, kMinuteMs},
    {"log_poll_ms", kNumber, "1000", "ms", "How long one read of the log waits for a record.", 10,
     kMinuteMs},
    {"vm_list_poll_ms", kNumber, "1000", "ms", "Between two reads of the VM list.", 10, kMinuteMs},
    {"vm_list_lag_ms", kNumber, "10000", "ms",
     "By how much the VM list may lag; never set it below the platform's word.", 0, kHourMs},
};
constexpr schema kPlatform{kPlatformFields};

constexpr field kRegionFields[] = {
    {"name", kText, kRequired, "", "Name of a region.", 1, kMaxName},
    {"shards", kNumber, kRequired, "", "Shards of this region.", 1, kMaxShards},
};
constexpr schema kRegion{kRegionFields};

constexpr field kCellFields[] = {
    {"regions",
     kList,
     kRequired,
     "",
     "Regions of the cell; shards are numbered through in this order. Must be the same at every "
     "entry.",
     1,
     16,
     {},
     &kRegion},
};
constexpr schema kCell{kCellFields};

constexpr field kRightsFields[] = {
    {"right_ms", kNumber, "3000", "ms", "How long a renewed right to act for a shard holds.", 100,
     kMinuteMs},
    {"renew_ms", kNumber, "750", "ms", "Between two renewals.", 10, kMinuteMs},
    {"proof_ms", kNumber, "3000", "ms",
     "How long an owner without a witness acts after a proof that nobody overtook it.", 100,
     kMinuteMs},
    {"drift_ppm", kNumber, "10000", "ppm", "By how much the speeds of two clocks may differ.", 0,
     200'000},
};
constexpr schema kRights{kRightsFields};

constexpr field kJournalFields[] = {
    {"linger_ms", kNumber, "5", "ms", "How long a record waits for others to share its append.", 0,
     1000},
    {"appends_per_s", kNumber, "20", "1/s",
     "Appends of this entry over all streams; all entries together must stay below the platform's "
     "rate.",
     1, 1000},
    {"burst", kNumber, "10", "", "Appends that may follow each other at once.", 1, 1000},
    {"max_append_bytes", kNumber, "4194304", "bytes", "Records of one append.", 1024, kMaxBytes},
    {"max_waiting_bytes", kNumber, "16777216", "bytes",
     "Records that wait for the log; beyond it work that must be recorded is refused.", 1024,
     kMaxBytes},
    {"retention_ms", kNumber, "86400000", "ms", "After which the platform's log forgets.", 1000,
     400 * kDayMs},
    {"retry_least_ms", kNumber, "50", "ms", "First wait after a failed append.", 1, kMinuteMs},
    {"retry_most_ms", kNumber, "5000", "ms", "Longest wait after failed appends.", 1, kHourMs},
};
constexpr schema kJournal{kJournalFields};

constexpr field kHeartbeatFields[] = {
    {"interval_ms", kNumber, "1000", "ms", "Between two heartbeats to a peer.", 10, kMinuteMs},
    {"missed", kNumber, "3", "", "Silent intervals after which a peer is passed over.", 1, 100},
};
constexpr schema kHeartbeat{kHeartbeatFields};

constexpr field kLeaseFields[] = {
    {"lease_ms", kNumber, "30000", "ms", "How long a task runs without a renewal.", 100, kHourMs},
    {"renew_ms", kNumber, "5000", "ms", "Between two renewals to a worker.", 10, kHourMs},
};
constexpr schema kLeases{kLeaseFields};

constexpr field kLimitFields[] = {
    {"queued_per_customer", kNumber, "10000", "", "Requests and tasks of one customer that wait.",
     1, kMaxCount},
    {"open_calls", kNumber, "20000", "", "Calls to other entries without an answer yet.", 1,
     kMaxCount},
    {"known_requests", kNumber, "200000", "", "Ids of non-idempotent requests kept for each shard.",
     100, kMaxCount},
    {"request_memory_ms", kNumber, "600000", "ms",
     "How long such an id is kept; older requests are refused as too old.", 1000, kDayMs},
};
constexpr schema kLimits{kLimitFields};

constexpr field kStopFields[] = {
    {"grace_ms", kNumber, "30000", "ms", "After SIGTERM, until the process exits whatever is left.",
     100, kHourMs},
    {"unready_ms", kNumber, "2000", "ms",
     "After SIGTERM, how long connections are still accepted so that the balancer can notice.", 0,
     kMinuteMs},
};
constexpr schema kStop{kStopFields};

constexpr field kLogFields[] = {
    {"level", kWord, "\"info\"", "", "The least grave lines that are kept.", 0, 0, kLevels},
    {"dir", kText, "\"\"", "", "Folder of log files; empty: standard error.", 0, 4096},
};
constexpr schema kLog{kLogFields};

constexpr field kRootFields[] = {
    {"entry", kObject, kRequired, "", "", 0, 0, {}, &kEntry},
    {"http", kObject, "{}", "", "", 0, 0, {}, &kHttp},
    {"peer", kObject, "{}", "", "", 0, 0, {}, &kPeer},
    {"platform", kObject, kRequired, "", "", 0, 0, {}, &kPlatform},
    {"cell", kObject, kRequired, "", "", 0, 0, {}, &kCell},
    {"rights", kObject, "{}", "", "", 0, 0, {}, &kRights},
    {"journal", kObject, "{}", "", "", 0, 0, {}, &kJournal},
    {"heartbeat", kObject, "{}", "", "", 0, 0, {}, &kHeartbeat},
    {"leases", kObject, "{}", "", "", 0, 0, {}, &kLeases},
    {"limits", kObject, "{}", "", "", 0, 0, {}, &kLimits},
    {"stop", kObject, "{}", "", "", 0, 0, {}, &kStop},
    {"log", kObject, "{}", "", "", 0, 0, {}, &kLog},
};
constexpr schema kRoot{kRootFields};

std::string Advertised(const json::object& from) {
  const std::string told = Text(from, "advertised_host");
  return told.empty() ? Text(from, "host") : told;
}

entry_settings ReadEntry(const json::object& from) {
  return {.name = entry_id{Text(from, "name")},
          .region = region_id{Text(from, "region")},
          .failure_domain = failure_domain_id{Text(from, "failure_domain")}};
}

http_settings ReadHttp(const json::object& from) {
  return {.host = Text(from, "host"),
          .port = static_cast<std::uint16_t>(Count(from, "port")),
          .advertised_host = Advertised(from),
          .threads = Count(from, "threads"),
          .max_connections = Count(from, "max_connections"),
          .memory_mb = Count(from, "memory_mb"),
          .client_memory_mb = Count(from, "client_memory_mb"),
          .max_header_bytes = Count(from, "max_header_bytes"),
          .max_body_bytes = Count(from, "max_body_bytes"),
          .idle = Span(from, "idle_ms"),
          .header_timeout = Span(from, "header_timeout_ms"),
          .body_timeout = Span(from, "body_timeout_ms")};
}

peer_settings ReadPeer(const json::object& from) {
  return {.host = Text(from, "host"),
          .port = static_cast<std::uint16_t>(Count(from, "port")),
          .advertised_host = Advertised(from),
          .max_queued = Count(from, "max_queued")};
}

platform_settings ReadPlatform(const json::object& from) {
  platform_settings all{.log = {},
                        .vm_list = Text(from, "vm_list"),
                        .connect_timeout = Span(from, "connect_timeout_ms"),
                        .answer_timeout = Span(from, "answer_timeout_ms"),
                        .log_poll = Span(from, "log_poll_ms"),
                        .vm_list_poll = Span(from, "vm_list_poll_ms"),
                        .vm_list_lag = Span(from, "vm_list_lag_ms")};
  for (const auto& address : from.at("log").as_array()) {
    all.log.emplace_back(std::string_view{address.as_string()});
  }
  return all;
}

cell_settings ReadCell(const json::object& from) {
  cell_settings all;
  for (const auto& item : from.at("regions").as_array()) {
    const auto& region = item.as_object();
    all.regions.push_back(
        {.name = region_id{Text(region, "name")}, .shards = Count(region, "shards")});
  }
  return all;
}

journal_settings ReadJournal(const json::object& from) {
  return {.linger = Span(from, "linger_ms"),
          .appends_per_s = Count(from, "appends_per_s"),
          .burst = Count(from, "burst"),
          .max_append_bytes = Count(from, "max_append_bytes"),
          .max_waiting_bytes = Count(from, "max_waiting_bytes"),
          .retention = Span(from, "retention_ms"),
          .retry_least = Span(from, "retry_least_ms"),
          .retry_most = Span(from, "retry_most_ms")};
}

settings ReadAll(const json::object& root) {
  const auto& rights = Object(root, "rights");
  const auto& beat = Object(root, "heartbeat");
  const auto& leases = Object(root, "leases");
  const auto& bounds = Object(root, "limits");
  const auto& stop = Object(root, "stop");
  const auto& log = Object(root, "log");
  return {.entry = ReadEntry(Object(root, "entry")),
          .http = ReadHttp(Object(root, "http")),
          .peer = ReadPeer(Object(root, "peer")),
          .platform = ReadPlatform(Object(root, "platform")),
          .cell = ReadCell(Object(root, "cell")),
          .rights = {.right = Span(rights, "right_ms"),
                     .renew = Span(rights, "renew_ms"),
                     .proof = Span(rights, "proof_ms"),
                     .drift_ppm = Count(rights, "drift_ppm")},
          .journal = ReadJournal(Object(root, "journal")),
          .heartbeat = {.interval = Span(beat, "interval_ms"), .missed = Count(beat, "missed")},
          .leases = {.lease = Span(leases, "lease_ms"), .renew = Span(leases, "renew_ms")},
          .limits = {.queued_per_customer = Count(bounds, "queued_per_customer"),
                     .open_calls = Count(bounds, "open_calls"),
                     .known_requests = Count(bounds, "known_requests"),
                     .request_memory = Span(bounds, "request_memory_ms")},
          .stop = {.grace = Span(stop, "grace_ms"), .unready = Span(stop, "unready_ms")},
          .log = {.level = Text(log, "level"), .dir = Text(log, "dir")}};
}

std::string Milliseconds(duration span) {
  return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(span).count());
}

/// Two spans of which the first must leave room for the second.
struct span_rule {
  std::string_view path;
  duration value;
  duration most;
  std::string_view why;
};

void CheckSpans(const settings& all, std::vector<fault>& faults) {
  const span_rule rules[] = {
      {"rights.renew_ms", all.rights.renew, all.rights.right / 2,
       "half of rights.right_ms, so that one lost renewal stops nothing"},
      {"leases.renew_ms", all.leases.renew, all.leases.lease / 2,
       "half of leases.lease_ms, so that one lost renewal stops nothing"},
      {"journal.retry_least_ms", all.journal.retry_least, all.journal.retry_most,
       "journal.retry_most_ms"},
      {"stop.unready_ms", all.stop.unready, all.stop.grace, "stop.grace_ms"},
      {"limits.request_memory_ms", all.limits.request_memory, all.journal.retention / 4,
       "a quarter of journal.retention_ms, so that a successor still finds the ids in the log"},
  };
  for (const auto& rule : rules) {
    if (rule.value > rule.most) {
      faults.push_back({std::string{rule.path}, Milliseconds(rule.value),
                        "at most " + Milliseconds(rule.most) + ": " + std::string{rule.why}});
    }
  }
}

void CheckCell(const settings& all, std::vector<fault>& faults) {
  std::set<region_id> names;
  for (const auto& each : all.cell.regions) {
    if (!each.name.empty() && !names.insert(each.name).second) {
      faults.push_back({"cell.regions", each.name.value(), "names that differ"});
    }
  }
  if (!all.entry.region.empty() && !names.contains(all.entry.region)) {
    faults.push_back({"entry.region", all.entry.region.value(), "a name under `cell.regions`"});
  }
  if (all.cell.ShardCount() > kMaxShards) {
    faults.push_back({"cell.regions", std::to_string(all.cell.ShardCount()) + " shards",
                      "at most " + std::to_string(kMaxShards) + " in all"});
  }
}

}  // namespace

std::uint32_t cell_settings::ShardCount() const noexcept {
  std::uint32_t all = 0;
  for (const auto& each : regions) {
    all += each.shards;
  }
  return all;
}

region_id cell_settings::RegionOf(shard_number shard) const {
  shard_number end = 0;
  for (const auto& each : regions) {
    end += each.shards;
    if (shard < end) {
      return each.name;
    }
  }
  return {};
}

std::vector<shard_number> cell_settings::ShardsOf(const region_id& region) const {
  std::vector<shard_number> all;
  for (shard_number shard = 0; shard < ShardCount(); ++shard) {
    if (RegionOf(shard) == region) {
      all.push_back(shard);
    }
  }
  return all;
}

const schema& SettingsSchema() noexcept { return kRoot; }

checked<settings> ParseSettings(std::string_view text) {
  document read = document_reader{kRoot}.Read(text);
  if (read.value.empty()) {
    return {std::nullopt, std::move(read.faults)};
  }
  settings all = ReadAll(read.value);
  CheckSpans(all, read.faults);
  CheckCell(all, read.faults);
  if (HasError(read.faults)) {
    return {std::nullopt, std::move(read.faults)};
  }
  return {std::move(all), std::move(read.faults)};
}

std::string SettingsMarkdown() {
  return "# Settings of `rosearch serve`\n\n"
         "A JSON object. The process reads it once at its start, names every fault at once and "
         "does not start with any.\n"
         "Unknown keys are refused. This page is generated from the table that the program "
         "checks against.\n\n" +
         MarkdownTable(SettingsSchema());
}

}  // namespace rosearch::config
