#include "rosearch/config/configuration.h"

#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>
#include <chrono>
#include <optional>
#include <set>
#include <utility>

#include "rosearch/config/document_reader.h"
#include "rosearch/config/json_values.h"
#include "rosearch/core/name.h"

namespace rosearch::config {
namespace {

namespace json = boost::json;
using internal::Count;
using internal::Number;
using internal::OptionalFlag;
using internal::Span;
using internal::Text;

constexpr std::int64_t kMaxName = 64;
// Anybody who may write to the log can make every entry read a document, and the look for rules
// that never decide costs the square of their number: these bounds keep it at some tens of
// milliseconds.
constexpr std::int64_t kMaxRules = 2'000;
constexpr std::int64_t kMaxCustomers = 200;
constexpr std::size_t kMaxDocumentBytes = 1 << 20;
constexpr std::int64_t kMaxCount = 10'000'000;
constexpr std::int64_t kMaxSpanMs = 86'400'000;

constexpr std::string_view kKinds[] = {"*", "request", "batch", "gang", "service"};
constexpr std::string_view kActions[] = {"admit", "reject"};
constexpr std::string_view kPolicies[] = {"pack", "spread", "quick", "urgent"};

using enum field_type;

constexpr field kQuotaFields[] = {
    {"processors_milli", kNumber, kRequired, "1/1000 processor", "Processors committed at once.", 0,
     1'000'000'000},
    {"memory_mb", kNumber, kRequired, "MB", "Memory committed at once.", 0, 1'000'000'000},
    {"accelerators", kNumber, "0", "", "Accelerators committed at once.", 0, 1'000'000},
    {"max_queued", kNumber, "1000", "", "Requests and tasks that wait.", 0, kMaxCount},
    {"max_running", kNumber, "10000", "", "Requests and tasks that run.", 0, kMaxCount},
};
constexpr schema kQuota{kQuotaFields};

constexpr field kCustomerFields[] = {
    {"name", kText, kRequired, "", "Name in requests and rules.", 1, kMaxName},
    {"weight", kNumber, "1", "",
     "Share against the other customers' when together they want more than there is.", 1, 1000},
    {"quota", kObject, kRequired, "", "", 0, 0, {}, &kQuota},
};
constexpr schema kCustomer{kCustomerFields};

constexpr field kMatchFields[] = {
    {"customer", kText, "\"*\"", "", "A customer, or `*` for all.", 1, kMaxName},
    {"kind", kWord, "\"*\"", "", "Class of work.", 0, 0, kKinds},
    {"label", kText, "\"*\"", "", "Exact label, prefix followed by `*`, or `*`.", 0, kMaxName},
    {"service", kText, "\"*\"", "", "Exact service, prefix followed by `*`, or `*`.", 0, kMaxName},
    {"urgent", kFlag, kOptional, "", "Only urgent work, or only other work."},
};
constexpr schema kMatch{kMatchFields};

constexpr field kTreatFields[] = {
    {"action", kWord, "\"admit\"", "", "Whether the work is taken.", 0, 0, kActions},
    {"reason", kText, "\"\"", "", "Told to the caller; required for `reject`.", 0, 200},
    {"policy", kWord, kOptional, "",
     "Placement; by default quick for requests, spread for services, pack otherwise.", 0, 0,
     kPolicies},
    {"priority", kNumber, "100", "", "Higher goes first.", 0, 1000},
    {"retries", kNumber, "0", "", "Further attempts of a task or an idempotent request.", 0, 100},
    {"deadline_ms", kNumber, kOptional, "ms",
     "What has not started by then is not run; by default no limit for jobs, and "
     "`limits.request_deadline_ms` for requests.",
     1, kMaxSpanMs},
    {"preemptible", kFlag, "false", "", "May be stopped for urgent work."},
    {"idempotent", kFlag, kOptional, "", "Overrides what the caller declares."},
};
constexpr schema kTreat{kTreatFields};

constexpr field kRuleFields[] = {
    {"name", kText, kRequired, "", "Name in answers and logs.", 1, kMaxName},
    {"match", kObject, "{}", "", "", 0, 0, {}, &kMatch},
    {"treat", kObject, "{}", "", "", 0, 0, {}, &kTreat},
};
constexpr schema kRule{kRuleFields};

constexpr field kLimitFields[] = {
    {"retry_percent", kNumber, "10", "%", "Retries for each hundred first tries.", 0, 100},
    {"max_tasks_per_job", kNumber, "10000", "", "Tasks of one job.", 1, 100'000},
    {"max_payload_bytes", kNumber, "65536", "bytes", "Payload of one task.", 0, 1 << 20},
    {"request_deadline_ms", kNumber, "10000", "ms", "Deadline of requests whose rule gives none.",
     1, kMaxSpanMs},
    {"gang_hold_ms", kNumber, "2000", "ms", "How long room is held for the rest of a gang.", 10,
     600'000},
    {"urgent_start_ms", kNumber, "5200", "ms", "By when urgent work starts.", 100, kMaxSpanMs},
};
constexpr schema kLimits{kLimitFields};

constexpr field kRootFields[] = {
    {"customers", kList, kRequired, "", "Who may use the cell.", 1, kMaxCustomers, {}, &kCustomer},
    {"rules",
     kList,
     kRequired,
     "",
     "In order; the first that matches decides.",
     1,
     kMaxRules,
     {},
     &kRule},
    {"limits", kObject, "{}", "", "", 0, 0, {}, &kLimits},
};
constexpr schema kRoot{kRootFields};

std::int64_t Milliseconds(duration span) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(span).count();
}

customer ReadCustomer(const json::object& from) {
  const auto& share = from.at("quota").as_object();
  return {.name = customer_id{Text(from, "name")},
          .weight = Count(from, "weight"),
          .quota = {.most = {.processors_milli = Number(share, "processors_milli"),
                             .memory_mb = Number(share, "memory_mb"),
                             .accelerators = Number(share, "accelerators")},
                    .max_queued = Count(share, "max_queued"),
                    .max_running = Count(share, "max_running")}};
}

rule_match ReadMatch(const json::object& from) {
  const std::string who = Text(from, "customer");
  return {.customer = who == "*" ? std::nullopt : std::optional{customer_id{who}},
          .kind = WorkClassFromName(Text(from, "kind")),
          .label = text_pattern{Text(from, "label")},
          .service = text_pattern{Text(from, "service")},
          .urgent = OptionalFlag(from, "urgent")};
}

treatment ReadTreatment(const json::object& from) {
  treatment treat{
      .action = Text(from, "action") == "reject" ? admission::kReject : admission::kAdmit,
      .reason = Text(from, "reason"),
      .policy = from.contains("policy") ? Text(from, "policy") : "",
      .priority = Count(from, "priority"),
      .retries = Count(from, "retries"),
      .preemptible = from.at("preemptible").as_bool(),
      .idempotent = OptionalFlag(from, "idempotent")};
  if (from.contains("deadline_ms")) {
    treat.deadline = Span(from, "deadline_ms");
  }
  return treat;
}

limits ReadLimits(const json::object& from) {
  return {.retry_percent = Count(from, "retry_percent"),
          .max_tasks_per_job = Count(from, "max_tasks_per_job"),
          .max_payload_bytes = Count(from, "max_payload_bytes"),
          .request_deadline = Span(from, "request_deadline_ms"),
          .gang_hold = Span(from, "gang_hold_ms"),
          .urgent_start = Span(from, "urgent_start_ms")};
}

std::vector<customer> ReadCustomers(const json::object& root, std::vector<fault>& faults) {
  std::vector<customer> all;
  std::set<customer_id> names;
  for (const auto& item : root.at("customers").as_array()) {
    customer next = ReadCustomer(item.as_object());
    const std::string path = "customers[" + std::to_string(all.size()) + "].name";
    if (!next.name.empty() && !names.insert(next.name).second) {
      faults.push_back({path, next.name.value(), "a name that no other customer has"});
    }
    if (next.name.value() == "*") {
      faults.push_back({path, "*", "a name other than the one that stands for all customers"});
    } else if (!next.name.empty() && !IsValidName(next.name.value())) {
      faults.push_back({path, next.name.value(), "letters, digits and . _ : -"});
    }
    all.push_back(std::move(next));
  }
  return all;
}

/// Faults that only a look at the whole document shows.
void CheckRule(const rule_set& rules, std::size_t index, const std::vector<customer>& customers,
               std::vector<fault>& faults) {
  const rule& each = rules.rules()[index];
  const std::string path = "rules[" + std::to_string(index) + "]";
  const auto& who = each.match.customer;
  if (who && std::ranges::find(customers, *who, &customer::name) == customers.end()) {
    faults.push_back({path + ".match.customer", who->value(), "a name under `customers`, or *"});
  }
  if (each.treat.action == admission::kReject && each.treat.reason.empty()) {
    faults.push_back({path + ".treat.reason", "nothing", "the reason that callers are told"});
  }
  if (const rule* const earlier = rules.CoveredBy(index); earlier != nullptr) {
    faults.push_back({path, "rule " + each.name + ", which never decides",
                      "a place before rule " + earlier->name + ", which matches all that it does",
                      fault_severity::kWarning});
  }
}

rule_set ReadRules(const json::object& root, const std::vector<customer>& customers,
                   std::vector<fault>& faults) {
  std::vector<rule> all;
  std::set<std::string> names;
  for (const auto& item : root.at("rules").as_array()) {
    const auto& from = item.as_object();
    rule next{.name = Text(from, "name"),
              .match = ReadMatch(from.at("match").as_object()),
              .treat = ReadTreatment(from.at("treat").as_object())};
    if (!next.name.empty() && !names.insert(next.name).second) {
      faults.push_back({"rules[" + std::to_string(all.size()) + "].name", next.name,
                        "a name that no other rule has"});
    }
    all.push_back(std::move(next));
  }
  rule_set rules{std::move(all)};
  for (std::size_t index = 0; index < rules.rules().size(); ++index) {
    CheckRule(rules, index, customers, faults);
  }
  return rules;
}

json::object CustomerJson(const customer& each) {
  const auto& share = each.quota;
  return {{"name", each.name.value()},
          {"weight", each.weight},
          {"quota",
           {{"processors_milli", share.most.processors_milli},
            {"memory_mb", share.most.memory_mb},
            {"accelerators", share.most.accelerators},
            {"max_queued", share.max_queued},
            {"max_running", share.max_running}}}};
}

json::object MatchJson(const rule_match& match) {
  json::object all{{"customer", match.customer ? match.customer->value() : "*"},
                   {"kind", match.kind ? WorkClassName(*match.kind) : "*"},
                   {"label", match.label.ToString()},
                   {"service", match.service.ToString()}};
  if (match.urgent) {
    all["urgent"] = *match.urgent;
  }
  return all;
}

json::object TreatmentJson(const treatment& treat) {
  json::object all{{"action", treat.action == admission::kAdmit ? "admit" : "reject"},
                   {"reason", treat.reason},
                   {"priority", treat.priority},
                   {"retries", treat.retries},
                   {"preemptible", treat.preemptible}};
  if (!treat.policy.empty()) {
    all["policy"] = treat.policy;
  }
  if (treat.deadline) {
    all["deadline_ms"] = Milliseconds(*treat.deadline);
  }
  if (treat.idempotent) {
    all["idempotent"] = *treat.idempotent;
  }
  return all;
}

json::object LimitsJson(const limits& bounds) {
  return {{"retry_percent", bounds.retry_percent},
          {"max_tasks_per_job", bounds.max_tasks_per_job},
          {"max_payload_bytes", bounds.max_payload_bytes},
          {"request_deadline_ms", Milliseconds(bounds.request_deadline)},
          {"gang_hold_ms", Milliseconds(bounds.gang_hold)},
          {"urgent_start_ms", Milliseconds(bounds.urgent_start)}};
}

/// Every value by its path; items of lists go by their names, so that a moved item is not a change
/// of all that follow it.
using flat_document = std::map<std::string, std::string>;

void Flatten(const json::value& value, const std::string& path, flat_document& out) {
  if (const auto* const all = value.if_object(); all != nullptr) {
    for (const auto& member : *all) {
      Flatten(member.value(),
              path.empty() ? std::string{member.key()} : path + "." + std::string{member.key()},
              out);
    }
    return;
  }
  if (const auto* const all = value.if_array(); all != nullptr) {
    for (const auto& item : *all) {
      Flatten(item, path + "[" + Text(item.as_object(), "name") + "]", out);
    }
    return;
  }
  out.emplace(path, json::serialize(value));
}

std::vector<std::string> NamesInBoth(const configuration& of, const configuration& other) {
  std::set<std::string> known;
  for (const auto& each : other.rules().rules()) {
    known.insert(each.name);
  }
  std::vector<std::string> names;
  for (const auto& each : of.rules().rules()) {
    if (known.contains(each.name)) {
      names.push_back(each.name);
    }
  }
  return names;
}

}  // namespace

configuration::configuration(std::vector<customer> customers, rule_set rules, limits bounds)
    : customers_{std::move(customers)}, rules_{std::move(rules)}, bounds_{bounds} {
  for (std::size_t index = 0; index < customers_.size(); ++index) {
    by_name_.emplace(customers_[index].name, index);
  }
}

const customer* configuration::FindCustomer(const customer_id& name) const noexcept {
  const auto found = by_name_.find(name);
  return found == by_name_.end() ? nullptr : &customers_[found->second];
}

json::object configuration::ToJson() const {
  json::array customers;
  for (const auto& each : customers_) {
    customers.push_back(CustomerJson(each));
  }
  json::array rules;
  for (const auto& each : rules_.rules()) {
    rules.push_back(json::object{{"name", each.name},
                                 {"match", MatchJson(each.match)},
                                 {"treat", TreatmentJson(each.treat)}});
  }
  return {{"customers", customers}, {"rules", rules}, {"limits", LimitsJson(bounds_)}};
}

const schema& ConfigurationSchema() noexcept { return kRoot; }

checked<configuration> ParseConfiguration(std::string_view text) {
  if (text.size() > kMaxDocumentBytes) {
    return {std::nullopt,
            {{"", std::to_string(text.size()) + " bytes",
              "at most " + std::to_string(kMaxDocumentBytes)}}};
  }
  document read = document_reader{kRoot}.Read(text);
  if (read.value.empty()) {
    return {std::nullopt, std::move(read.faults)};
  }
  auto customers = ReadCustomers(read.value, read.faults);
  auto rules = ReadRules(read.value, customers, read.faults);
  if (HasError(read.faults)) {
    return {std::nullopt, std::move(read.faults)};
  }
  const auto bounds = ReadLimits(read.value.at("limits").as_object());
  return {configuration{std::move(customers), std::move(rules), bounds}, std::move(read.faults)};
}

std::vector<std::string> Diff(const configuration& from, const configuration& to) {
  flat_document before;
  flat_document after;
  Flatten(from.ToJson(), "", before);
  Flatten(to.ToJson(), "", after);
  std::map<std::string, std::pair<std::string, std::string>> both;
  for (const auto& [path, value] : before) {
    both[path].first = value;
  }
  for (const auto& [path, value] : after) {
    both[path].second = value;
  }
  std::vector<std::string> lines;
  for (const auto& [path, values] : both) {
    const auto& [old_value, new_value] = values;
    if (old_value != new_value) {
      lines.push_back(path + ": " + (old_value.empty() ? "none" : old_value) + " -> " +
                      (new_value.empty() ? "none" : new_value));
    }
  }
  if (NamesInBoth(from, to) != NamesInBoth(to, from)) {
    lines.emplace_back("rules: the order of rules kept from before has changed");
  }
  return lines;
}

}  // namespace rosearch::config
