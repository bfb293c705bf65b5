#ifndef ROSEARCH_NODE_MEMBER_TABLE_H_
#define ROSEARCH_NODE_MEMBER_TABLE_H_

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "rosearch/core/id.h"
#include "rosearch/core/time.h"
#include "rosearch/ownership/party.h"
#include "rosearch/wire/peer.pb.h"
#include "rosearch/wire/platform.pb.h"

namespace rosearch {

/// What one entry knows of another, or of itself.
struct member {
  party who;
  region_id region;
  failure_domain_id failure_domain;
  std::string peer_address;
  std::string http_address;
  bool leaving{false};
  bool ready{false};
  config_version version{0};
  time_point last_heard{time_point::min()};
  std::vector<wire::shard_summary> owned{};
};

/// A party that the VM list has not shown, since when, and when the newest such list was asked for.
struct absence {
  party who;
  time_point since;
  time_point asked_at;
};

/// The entries of the cell, from the control stream, the VM list and heartbeats. None of these is
/// proof that a peer lives; rights to act never rest on it.
class member_table {
 public:
  /// @param silent_after  a peer not heard for so long is passed over.
  member_table(party self, duration silent_after);

  /// Takes in what an entry says of itself, on the control stream or in a heartbeat.
  void OnAnnouncement(const wire::entry_announcement& announcement);

  /// Takes in a heartbeat.
  /// @return whether the peer's last word was of another incarnation, or there was none.
  bool OnHeartbeat(const wire::heartbeat& beat, time_point now);

  /// Takes in the entries of the VM list. Addresses of entries that never announced themselves are
  /// learnt from it, so that a process that starts while the log is down finds its peers.
  void OnVmList(const std::vector<wire::vm_record>& entries, time_point asked_at, time_point now);

  /// Someone named as owner or witness: the VM list is to say whether it is gone.
  void Watch(const party& who);

  /// @return members heard lately and not leaving, this one included where it isn't leaving.
  [[nodiscard]] std::vector<const member*> Live(time_point now) const;

  /// @return whether a party was heard lately under that very incarnation.
  [[nodiscard]] bool IsLive(const party& who, time_point now) const;

  /// @return the parties watched that the newest VM list didn't show.
  [[nodiscard]] std::vector<absence> Absent() const;

  /// @return whether the newest VM list showed this very incarnation of a party.
  [[nodiscard]] bool IsListed(const party& who) const { return listed_.contains(who); }

  [[nodiscard]] const member* Find(const entry_id& entry) const;
  [[nodiscard]] const std::map<entry_id, member>& all() const noexcept { return members_; }

  /// @return the address of an entry's peer socket, or none.
  [[nodiscard]] std::optional<std::string> AddressOf(const entry_id& entry) const;

 private:
  party self_;
  duration silent_after_;
  std::map<entry_id, member> members_;
  std::set<party> watched_;
  std::set<party> listed_;
  std::map<party, absence> absent_;
};

}  // namespace rosearch

#endif  // ROSEARCH_NODE_MEMBER_TABLE_H_
