#include "rosearch/config/config_chain.h"

#include <glog/logging.h>

#include <algorithm>
#include <utility>

namespace rosearch::config {
namespace {

change_verdict Void(const wire::configuration_record& record, config_version against,
                    error_kind kind, std::string detail) {
  return {.effect = change_effect::kVoid,
          .version = against,
          .change_id = record.change_id(),
          .author = record.author(),
          .cause = error{kind, std::move(detail)}};
}

}  // namespace

change_verdict config_chain::Judge(const wire::configuration_record& record, config_version reached,
                                   parsed& document) const {
  if (record.change_id().empty()) {
    return Void(record, reached, error_kind::kInvalidRequest, "the change has no id");
  }
  if (record.replaces() != reached) {
    return Void(record, reached, error_kind::kVersionConflict,
                "it replaces version " + std::to_string(record.replaces()) + ", but version " +
                    std::to_string(reached) + " stands");
  }
  if (record.version() != reached + 1) {
    return Void(record, reached, error_kind::kInvalidRequest,
                "its version is not " + std::to_string(reached + 1));
  }
  document = ParseConfiguration(record.document());
  if (!document.value) {
    return Void(record, reached, error_kind::kInvalidRequest, ToString(document.faults));
  }
  return {.effect = change_effect::kAccepted,
          .version = record.version(),
          .change_id = record.change_id(),
          .author = record.author(),
          .cause = std::nullopt};
}

change_verdict config_chain::Apply(const wire::configuration_record& record) {
  if (auto known = Find(record.change_id());
      known && known->effect == change_effect::kAccepted && record.version() == known->version) {
    // An operator whose answer was lost publishes again. Called a conflict, it would believe that
    // its own change lost against itself.
    known->effect = change_effect::kRepeated;
    return *known;
  }
  parsed document;
  change_verdict verdict = Judge(record, reached_, document);
  if (verdict.effect == change_effect::kAccepted) {
    reached_ = record.version();
    if (reached_ > version()) {
      PutInForce(record, std::move(*document.value));
    }
  }
  history_.push_back(verdict);
  if (history_.size() > kHistory) {
    history_.pop_front();
  }
  return verdict;
}

change_verdict config_chain::Check(const wire::configuration_record& record) const {
  if (auto known = Find(record.change_id()); known && known->effect == change_effect::kAccepted) {
    known->effect = change_effect::kRepeated;
    return *known;
  }
  parsed document;
  return Judge(record, version(), document);
}

bool config_chain::Adopt(const wire::configuration_record& record) {
  if (record.version() <= version()) {
    return false;
  }
  auto document = ParseConfiguration(record.document());
  if (!document.value) {
    LOG(ERROR) << "event=adopt_refused version=" << record.version()
               << " change=" << record.change_id() << " cause=\"" << ToString(document.faults)
               << "\"";
    return false;
  }
  PutInForce(record, std::move(*document.value));
  return true;
}

bool config_chain::AdoptSnapshot(const wire::configuration_record& record) {
  if (record.version() <= reached_) {
    return false;
  }
  Adopt(record);
  if (version() < record.version()) {
    return false;
  }
  reached_ = record.version();
  return true;
}

std::optional<change_verdict> config_chain::Find(const std::string& change_id) const {
  std::optional<change_verdict> last;
  for (const auto& each : history_) {
    const bool decided = last && last->effect == change_effect::kAccepted;
    if (each.change_id == change_id && !decided) {
      last = each;
    }
  }
  return last;
}

void config_chain::PutInForce(const wire::configuration_record& record, configuration value) {
  CHECK_GT(record.version(), version())
      << "the configuration would revert: change=" << record.change_id();
  in_force_ = record;
  current_ = std::make_shared<const configuration>(std::move(value));
}

}  // namespace rosearch::config
