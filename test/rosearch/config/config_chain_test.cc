#include "rosearch/config/config_chain.h"

#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "rosearch/core/random_source.h"

namespace rosearch::config {
namespace {

std::string Document(std::size_t weight) {
  return R"({"customers":[{"name":"c","weight":)" + std::to_string(weight) +
         R"(,"quota":{"processors_milli":1,"memory_mb":1}}],"rules":[{"name":"all"}]})";
}

wire::configuration_record Record(std::string id, config_version replaces, config_version version,
                                  std::string document) {
  wire::configuration_record made;
  made.set_change_id(std::move(id));
  made.set_replaces(replaces);
  made.set_version(version);
  made.set_document(std::move(document));
  made.set_author("operator");
  return made;
}

struct step {
  std::string id;
  config_version replaces;
  config_version version;
  std::string document;
  change_effect effect;
  config_version told;
};

}  // namespace

TEST_CASE("of two operators who replace the same version one wins and the other is told",
          "[config-in-force]") {
  // Two operators publish at the same time, or one publishes again because its answer was lost.
  // Without one order both would believe to be in force, and entries would treat work differently.
  const std::vector<step> steps{
      {"a", 0, 1, Document(1), change_effect::kAccepted, 1},
      {"b", 0, 1, Document(2), change_effect::kVoid, 1},
      {"a", 0, 1, Document(1), change_effect::kRepeated, 1},
      {"c", 1, 2, "{}", change_effect::kVoid, 1},
      {"d", 1, 3, Document(3), change_effect::kVoid, 1},
      {"e", 4, 5, Document(3), change_effect::kVoid, 1},
      {"", 1, 2, Document(3), change_effect::kVoid, 1},
      {"b", 1, 2, Document(2), change_effect::kAccepted, 2},
      {"b", 1, 2, Document(2), change_effect::kRepeated, 2},
      {"a", 0, 1, Document(1), change_effect::kRepeated, 1},
  };
  config_chain chain;
  for (const auto& each : steps) {
    const auto verdict = chain.Apply(Record(each.id, each.replaces, each.version, each.document));
    CHECK(verdict.effect == each.effect);
    CHECK(verdict.version == each.told);
    CHECK(verdict.cause.has_value() == (each.effect == change_effect::kVoid));
  }
  CHECK(chain.version() == 2);
  CHECK(chain.current()->customers().front().weight == 2);
  CHECK(chain.Find("b")->effect == change_effect::kAccepted);
  CHECK(chain.Check(Record("x", 1, 2, Document(1))).cause->kind == error_kind::kVersionConflict);
  CHECK(chain.Check(Record("b", 0, 1, Document(2))).effect == change_effect::kRepeated);
}

TEST_CASE("what a peer told stays in force while older records are read", "[config-in-force]") {
  // An entry cut off from the log learns version 3 from a peer, and then reads versions 1 to 3 from
  // the log. Were it to follow the log alone, it would fall back to rules that operators replaced.
  config_chain chain;
  CHECK(chain.Adopt(Record("c", 2, 3, Document(3))));
  CHECK_FALSE(chain.Adopt(Record("b", 1, 2, Document(2))));
  CHECK_FALSE(chain.Adopt(Record("bad", 3, 4, "{}")));
  for (config_version next = 1; next <= 3; ++next) {
    const auto verdict =
        chain.Apply(Record("v" + std::to_string(next), next - 1, next, Document(next)));
    CHECK(verdict.effect == change_effect::kAccepted);
    CHECK(chain.version() == 3);
  }
  CHECK(chain.Apply(Record("d", 3, 4, Document(4))).effect == change_effect::kAccepted);
  CHECK(chain.version() == 4);
}

TEST_CASE("readers that begin anywhere, hear peers at any time and read twice agree",
          "[config-in-force]") {
  // Entries are replaced at any time and begin at a snapshot; records are doubled by lost answers.
  // Entries that disagree would treat the same customer's work by different rules.
  random_source random{7};
  config_chain whole;
  std::vector<wire::configuration_record> stream;
  std::vector<config_chain> readers(1);
  for (int round = 0; round < 3000; ++round) {
    const auto replaces = static_cast<config_version>(
        random.Between(0, 9) < 6 ? whole.version() : random.Between(0, 40));
    const std::string document = random.Chance(0.2) ? "[]" : Document(1 + round % 1000);
    const bool doubled = !stream.empty() && random.Chance(0.2);
    stream.push_back(doubled
                         ? stream[static_cast<std::size_t>(
                               random.Between(0, static_cast<std::int64_t>(stream.size()) - 1))]
                         : Record("id" + std::to_string(round), replaces, replaces + 1, document));
    whole.Apply(stream.back());
    for (auto& reader : readers) {
      const config_version before = reader.version();
      if (random.Chance(0.1)) {
        reader.Adopt(whole.record());
      }
      reader.Apply(stream.back());
      REQUIRE(reader.version() >= before);
    }
    if (random.Chance(0.02)) {
      readers.emplace_back().AdoptSnapshot(whole.record());
    }
  }
  REQUIRE(whole.version() > 100);
  for (std::size_t index = 0; index < readers.size(); ++index) {
    CHECK(readers[index].version() == whole.version());
    CHECK(*readers[index].current() == *whole.current());
  }
}

}  // namespace rosearch::config
