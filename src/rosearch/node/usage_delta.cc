#include "rosearch/node/usage_delta.h"

#include "rosearch/capacity/amounts.h"

namespace rosearch {
namespace {

wire::customer_usage RowOf(const std::string& customer, const resources& amount) {
  wire::customer_usage row;
  row.set_customer(customer);
  *row.mutable_committed() = internal::ToWire(amount);
  return row;
}

}  // namespace

std::vector<wire::customer_usage> usage_teller::Next(const std::map<std::string, resources>& used,
                                                     time_point now) {
  const bool whole = now >= whole_at_;
  if (whole) {
    whole_at_ = now + kWholeEvery;
  }
  // Customers that use nothing stay in the table: the heartbeat that said so may have been lost.
  auto present = used;
  for (const auto& [customer, amount] : told_) {
    present.try_emplace(customer);
  }
  std::vector<wire::customer_usage> rows;
  for (const auto& [customer, amount] : present) {
    const auto before = told_.find(customer);
    if (whole || before == told_.end() || before->second != amount) {
      rows.push_back(RowOf(customer, amount));
    }
  }
  told_ = std::move(present);
  return rows;
}

std::vector<wire::customer_usage> usage_memory::Take(
    const party& from, const std::vector<wire::customer_usage>& rows) {
  auto& known = entries_[from.entry];
  if (known.incarnation < from.incarnation) {
    // What an earlier run of that entry used is no longer true, and this one won't take it back.
    known = {from.incarnation, {}};
  }
  // A late heartbeat of an earlier run changes nothing.
  const bool late = from.incarnation < known.incarnation;
  for (const auto& row : late ? std::vector<wire::customer_usage>{} : rows) {
    if (internal::FromWire(row.committed()) == resources{}) {
      known.rows.erase(row.customer());
    } else {
      known.rows[row.customer()] = row;
    }
  }
  std::vector<wire::customer_usage> all;
  for (const auto& [customer, row] : known.rows) {
    all.push_back(row);
  }
  return all;
}

}  // namespace rosearch
