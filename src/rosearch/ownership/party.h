#ifndef ROSEARCH_OWNERSHIP_PARTY_H_
#define ROSEARCH_OWNERSHIP_PARTY_H_

#include <compare>
#include <ostream>
#include <string>

#include "rosearch/core/id.h"
#include "rosearch/wire/common.pb.h"

namespace rosearch {

/// One run of one entry process. A restarted entry is a different party.
struct party {
  entry_id entry;
  incarnation_number incarnation{};

  friend auto operator<=>(const party&, const party&) = default;
  friend std::ostream& operator<<(std::ostream& out, const party& who) {
    return out << who.entry << '#' << who.incarnation;
  }
};

/// @return the party as text, unique to this run.
[[nodiscard]] inline std::string ToText(const party& who) {
  return who.entry.value() + '#' + std::to_string(who.incarnation);
}

/// @return the party that a message names.
[[nodiscard]] inline party FromWire(const wire::party& from) {
  return {entry_id{from.entry()}, from.incarnation()};
}

/// @return the party as messages and records carry it.
[[nodiscard]] inline wire::party ToWire(const party& from) {
  wire::party to;
  to.set_entry(from.entry.value());
  to.set_incarnation(from.incarnation);
  return to;
}

}  // namespace rosearch

#endif  // ROSEARCH_OWNERSHIP_PARTY_H_
