#ifndef ROSEARCH_SHARD_SHARD_OUTPUT_H_
#define ROSEARCH_SHARD_SHARD_OUTPUT_H_

#include <cstdint>
#include <string>
#include <vector>

#include "rosearch/core/error.h"
#include "rosearch/core/id.h"
#include "rosearch/core/time.h"
#include "rosearch/ownership/assignment.h"
#include "rosearch/ownership/party.h"
#include "rosearch/wire/peer.pb.h"
#include "rosearch/wire/platform.pb.h"

namespace rosearch {

/// Who waits for the answer to a call: the entry that a caller is connected to, and its number for
/// the call.
struct call_origin {
  std::string entry;
  std::uint64_t incarnation{0};
  std::uint64_t number{0};

  friend auto operator<=>(const call_origin&, const call_origin&) = default;
};

/// A final answer on its way to a caller.
struct call_result {
  call_origin to;
  wire::call_answer answer;
};

/// A request to be written to an executor while the right to act lasts.
struct executor_send {
  std::uint64_t ticket{0};
  std::uint32_t attempt{0};
  vm_id vm;
  std::string address;
  wire::request_call request;
  time_point valid_until;  ///< nothing may be written from then on
  time_point answer_by;
};

/// Commands to be written to a worker while the right to act lasts.
struct worker_send {
  vm_id vm;
  std::string address;
  wire::worker_command command;
  time_point valid_until;
};

/// A non-idempotent request that another shard's executors should run.
struct delegated_send {
  std::uint64_t ticket{0};
  std::uint32_t attempt{0};
  wire::request_call request;
  time_point answer_by;
};

/// A message to one run of one entry.
struct peer_send {
  party to;
  wire::peer_message message;
};

/// What one step of a shard asks the process to do, in order within each kind.
struct shard_output {
  std::vector<wire::capacity_message> capacity;  ///< to the owners of `to_shard`
  std::vector<call_result> answers;
  std::vector<executor_send> executors;
  std::vector<worker_send> workers;
  std::vector<delegated_send> delegated;
  std::vector<peer_send> peers;
  std::vector<assignment> claims;  ///< to the control stream
};

/// @return an error as it travels between processes.
[[nodiscard]] wire::error_body ToWire(const error& value);

/// @return an error as it was before it travelled; a kind that this release doesn't know becomes
///   `kInternal`.
[[nodiscard]] error FromWire(const wire::error_body& value);

/// @return an answer that is only an error; the call's number is left to the caller.
[[nodiscard]] wire::call_answer ErrorAnswer(const error& value);

/// @return why an owner accepts nothing that it would have to remember: neither a witness nor the
/// log
///   has its records, so that they would be lost with its one process.
[[nodiscard]] error NoSecondCopy();

/// @return how a piece of work ended that went wrong.
[[nodiscard]] wire::ending EndingOf(error_kind kind, std::string detail);

/// @return what a caller may assume of an ending.
[[nodiscard]] outcome EffectOf(const wire::ending& how);

}  // namespace rosearch

#endif  // ROSEARCH_SHARD_SHARD_OUTPUT_H_
