#include "rosearch/shard/shard_log_view.h"

#include <catch2/catch.hpp>

namespace rosearch {
namespace {

wire::shard_batch Snapshot(shard_term term, std::uint64_t sequence) {
  wire::shard_batch batch;
  SetTerm(term, batch);
  batch.set_first_sequence(sequence);
  batch.add_records()->mutable_snapshot();
  return batch;
}

}  // namespace

// Guards against a slow append of an owner that reaches the log after its witness has taken over
// and written: taken in, it undoes what the witness told, and an ended task runs again.
TEST_CASE("an owner's late snapshot doesn't undo what its witness wrote", "[truthful-not-run]") {
  const bool owner_wrote_before = GENERATE(false, true);
  shard_log_view view;
  if (owner_wrote_before) {
    view.OnBatch("owner", Snapshot({8}, 690));
  }
  view.OnBatch("witness", Snapshot({8, true}, 693));
  view.OnBatch("owner", Snapshot({8}, 692));
  CHECK(view.author() == "witness");
  CHECK(view.sequence() == 693);
}

// Guards against reading on from an owner that a batch of a later epoch has replaced.
TEST_CASE("a batch of an earlier epoch is void", "[truthful-not-run]") {
  shard_log_view view;
  view.OnBatch("witness", Snapshot({8, true}, 693));
  view.OnBatch("next", Snapshot({9}, 700));
  view.OnBatch("witness", Snapshot({8, true}, 701));
  CHECK(view.author() == "next");
  CHECK(view.sequence() == 700);
}

}  // namespace rosearch
