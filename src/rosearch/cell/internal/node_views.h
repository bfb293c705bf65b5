#ifndef ROSEARCH_CELL_INTERNAL_NODE_VIEWS_H_
#define ROSEARCH_CELL_INTERNAL_NODE_VIEWS_H_

// Dumps and metrics of a process of a cell. Included by node.h.

#include "rosearch/cell/node.h"

namespace rosearch::cell {

template <typename Ports>
std::string node<Ports>::Explain(std::string_view job) const {
  return leader_ ? leader_->Explain(job) : Dump();
}

template <typename Ports>
std::string node<Ports>::Dump() const {
  std::string text = "name=" + settings_.name + " leading=" + (leader_ ? "1" : "0") +
                     " epoch=" + std::to_string(election_.KnownLeader().epoch) +
                     " leader=" + election_.KnownLeader().address +
                     " leader_name=" + election_.KnownLeader().name +
                     " peers=" + std::to_string(members_.size()) + '\n';
  return leader_ ? text + leader_->Dump() : text;
}

template <typename Ports>
void node<Ports>::FillMetrics() {
  metrics_.Set("rosearch_leading", leader_ ? 1 : 0);
  metrics_.Set("rosearch_peers", static_cast<double>(members_.size()));
  metrics_.SetTotal("rosearch_relayed_total", outside_.CountRelayedExchanges());
  metrics_.SetTotal("rosearch_peer_calls_dropped_total", peers_.CountDropped());
  if (leader_) {
    leader_->FillMetrics();
  }
}

}  // namespace rosearch::cell

#endif  // ROSEARCH_CELL_INTERNAL_NODE_VIEWS_H_
