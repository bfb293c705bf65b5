#ifndef ROSEARCH_CORE_RANDOM_SOURCE_H_
#define ROSEARCH_CORE_RANDOM_SOURCE_H_

#include <boost/random/bernoulli_distribution.hpp>
#include <boost/random/mersenne_twister.hpp>
#include <boost/random/uniform_int_distribution.hpp>
#include <cstdint>

namespace rosearch {

/// Seeded random number generator. The same seed gives the same sequence on every machine.
class random_source {
 public:
  explicit random_source(std::uint64_t seed) : engine_{seed} {}

  /// @return a uniformly distributed number in [`low`, `high`]. Undefined if `low` exceeds `high`.
  [[nodiscard]] std::int64_t Between(std::int64_t low, std::int64_t high) {
    return boost::random::uniform_int_distribution<std::int64_t>{low, high}(engine_);
  }

  /// @return true with the given probability, from 0 to 1.
  [[nodiscard]] bool Chance(double probability) {
    return boost::random::bernoulli_distribution<double>{probability}(engine_);
  }

 private:
  boost::random::mt19937_64 engine_;
};

}  // namespace rosearch

#endif  // ROSEARCH_CORE_RANDOM_SOURCE_H_
