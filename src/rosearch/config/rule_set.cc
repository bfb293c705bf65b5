#include "rosearch/config/rule_set.h"

#include <utility>

namespace rosearch::config {

rule_set::rule_set(std::vector<rule> rules) : rules_{std::move(rules)} {
  for (const auto& each : rules_) {
    if (each.match.customer) {
      by_customer_.try_emplace(*each.match.customer);
    }
  }
  for (std::uint32_t position = 0; position < rules_.size(); ++position) {
    const auto& customer = rules_[position].match.customer;
    if (customer) {
      Add(by_customer_.at(*customer), position);
      continue;
    }
    Add(any_customer_, position);
    for (auto& [name, index] : by_customer_) {
      Add(index, position);
    }
  }
}

void rule_set::Add(customer_index& index, std::uint32_t position) {
  const auto& match = rules_[position].match;
  for (std::size_t kind = 0; kind < kWorkClasses; ++kind) {
    if (match.kind && static_cast<std::size_t>(*match.kind) != kind) {
      continue;
    }
    auto& at = index[kind];
    (match.label.IsExact() ? at.by_label[match.label.stem()] : at.others).push_back(position);
  }
}

const rule* rule_set::First(const positions& exact, const positions& others,
                            const work_kind& work) const noexcept {
  auto left = exact.begin();
  auto right = others.begin();
  while (left != exact.end() || right != others.end()) {
    const bool take_left = right == others.end() || (left != exact.end() && *left < *right);
    const rule& candidate = rules_[take_left ? *left++ : *right++];
    if (candidate.match.Matches(work)) {
      return &candidate;
    }
  }
  return nullptr;
}

const rule* rule_set::Match(const work_kind& work) const noexcept {
  static const positions none;
  const auto known = by_customer_.find(work.customer);
  const auto& index = known == by_customer_.end() ? any_customer_ : known->second;
  const auto& at = index[static_cast<std::size_t>(work.kind)];
  const auto exact = at.by_label.find(work.label);
  return First(exact == at.by_label.end() ? none : exact->second, at.others, work);
}

const rule* rule_set::CoveredBy(std::size_t index) const noexcept {
  for (std::size_t earlier = 0; earlier < index; ++earlier) {
    if (rules_[earlier].match.Covers(rules_[index].match)) {
      return &rules_[earlier];
    }
  }
  return nullptr;
}

}  // namespace rosearch::config
