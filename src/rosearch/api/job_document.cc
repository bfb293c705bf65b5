#include "rosearch/api/job_document.h"

#include <boost/json/serialize.hpp>
#include <iterator>
#include <limits>
#include <string>

#include "rosearch/config/document_reader.h"
#include "rosearch/config/json_values.h"
#include "rosearch/shard/task_key.h"

namespace rosearch {
namespace {

namespace json = boost::json;

using config::field;
using config::schema;
using config::internal::Count;
using config::internal::Object;
using config::internal::Text;
using enum config::field_type;

constexpr std::string_view kKinds[] = {"batch", "gang", "service"};
constexpr std::int64_t kMaxTasks = 100'000;
constexpr std::int64_t kMaxAmount = std::numeric_limits<std::int32_t>::max();
constexpr std::int64_t kMaxPayload = 65'536;

constexpr field kNeedsFields[] = {
    {"processors_milli", kNumber, config::kRequired, "1/1000 processor", "Processors of one task.",
     1, kMaxAmount},
    {"memory_mb", kNumber, config::kRequired, "MB", "Memory of one task.", 1, kMaxAmount},
    {"accelerators", kNumber, "0", "", "Accelerators of one task.", 0, kMaxAmount},
};
constexpr schema kNeeds{kNeedsFields};

constexpr field kJobFields[] = {
    {"customer", kText, config::kRequired, "", "Whose job it is.", 1, 64},
    {"job", kText, config::kRequired, "", "Its name, unique for the customer.", 1, 128},
    {"kind", kWord, "\"batch\"", "", "batch, gang (all tasks or none) or service.", 0, 0, kKinds},
    {"count", kNumber, "1", "", "Tasks, or replicas of a service.", 1, kMaxTasks},
    {"needs", kObject, config::kRequired, "", "", 0, 0, {}, &kNeeds},
    {"run_ms", kNumber, "0", "ms", "Declared run time of one task, a hint.", 0, kMaxAmount},
    {"at_most_once", kFlag, "false", "", "A task is never started a second time."},
    {"label", kText, "\"\"", "", "What rules match besides customer and kind.", 0, 64},
    {"payload", kText, "\"\"", "", "Passed to each task as it is.", 0, kMaxPayload},
    {"deadline_ms", kNumber, "0", "ms",
     "A task that has not started by then is not run; 0: no limit.", 0, kMaxAmount},
    {"urgent", kFlag, "false", "", "May displace work that a rule marks as preemptible."},
};
constexpr schema kJob{kJobFields};

wire::job_kind KindOf(const std::string& word) {
  if (word == "gang") {
    return wire::JOB_GANG;
  }
  return word == "service" ? wire::JOB_SERVICE : wire::JOB_BATCH;
}

}  // namespace

const schema& JobSchema() noexcept { return kJob; }

config::checked<wire::job_spec> ParseJob(std::string_view text) {
  auto document = config::document_reader{kJob}.Read(text);
  config::checked<wire::job_spec> parsed{std::nullopt, std::move(document.faults)};
  const auto& value = document.value;
  for (const auto* const key : {"customer", "job"}) {
    // Of a text that is no job, a key may be absent or of another type; those are faults already.
    const auto* const name = value.if_contains(key);
    if (name != nullptr && name->is_string() && !IsValidName(std::string_view{name->as_string()})) {
      parsed.faults.push_back({key, json::serialize(*name), "letters, digits and . _ : -"});
    }
  }
  if (config::HasError(parsed.faults)) {
    return parsed;
  }
  wire::job_spec spec;
  spec.set_customer(Text(value, "customer"));
  spec.set_job(Text(value, "job"));
  spec.set_kind(KindOf(Text(value, "kind")));
  spec.set_count(Count(value, "count"));
  const auto& needs = Object(value, "needs");
  spec.mutable_needs()->set_processors_milli(Count(needs, "processors_milli"));
  spec.mutable_needs()->set_memory_mb(Count(needs, "memory_mb"));
  spec.mutable_needs()->set_accelerators(Count(needs, "accelerators"));
  spec.set_run_ms(Count(value, "run_ms"));
  spec.set_at_most_once(value.at("at_most_once").as_bool());
  spec.set_label(Text(value, "label"));
  spec.set_payload(Text(value, "payload"));
  spec.set_deadline_ms(Count(value, "deadline_ms"));
  spec.set_urgent(value.at("urgent").as_bool());
  parsed.value = std::move(spec);
  return parsed;
}

}  // namespace rosearch
