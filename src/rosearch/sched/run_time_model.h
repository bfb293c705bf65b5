#ifndef ROSEARCH_SCHED_RUN_TIME_MODEL_H_
#define ROSEARCH_SCHED_RUN_TIME_MODEL_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "rosearch/core/time.h"
#include "rosearch/sched/run_time_regression.h"

namespace rosearch::sched {

/// Tasks whose run times are learned together.
struct run_time_key {
  std::string_view queue{};
  std::string_view customer{};  ///< empty: none
  std::string_view image{};     ///< empty: none

  friend bool operator==(const run_time_key&, const run_time_key&) = default;
};

/// Learns the run times of tasks from declared estimates that are off by up to nine tenths, so that
/// jobs are ordered, admitted and given up by the time that they really need. The model is kept per
/// queue and customer, so that customers can't influence each other's predictions; within these,
/// also per image.
class run_time_model {
 public:
  /// Max size of `Encode`'s result.
  static constexpr std::size_t kMaxRecordBytes = 16U << 10U;
  /// Max images per queue and customer; the image that has gone longest without a sample is
  /// dropped.
  static constexpr std::size_t kMaxImages = 16;

  /// Learns from a task that ran from start to end without interruption. Ignored if either time is
  /// zero.
  /// @param measured  run time at normal worker speed.
  /// @param weight  share of this run in its step, whose tasks share one declared estimate.
  void Learn(const run_time_key& key, duration declared, duration measured, double weight);

  /// @return the run time to expect of a task, or `declared` if there are too few samples, or if
  ///         the declared estimates are accurate or absent.
  [[nodiscard]] duration Predict(const run_time_key& key, duration declared) const;

  /// @return the predicted run time, if at most one task in a hundred exceeds it by this factor;
  ///         nothing if more do, or if there are too few samples.
  [[nodiscard]] std::optional<duration> PredictWithin(const run_time_key& key, duration declared,
                                                      double factor) const;

  /// @return a protobuf record of at most `kMaxRecordBytes`. If not all fits, the regressions with
  ///         the least weight are left out.
  [[nodiscard]] std::string Encode() const;
  /// @return the model of a record; nothing if it can't be decoded.
  [[nodiscard]] static std::optional<run_time_model> Decode(std::string_view record);

  /// Calls `visit(key, regression)` for each queue and customer, and each of their images.
  template <typename Visitor>
  void Visit(Visitor visit) const {
    for (const auto& [queue, customers] : queues_) {
      for (const auto& [customer, samples] : customers) {
        visit(run_time_key{queue, customer, {}}, samples.all);
        for (const auto& [image, each] : samples.images) {
          visit(run_time_key{queue, customer, image}, each.regression);
        }
      }
    }
  }

  friend bool operator==(const run_time_model&, const run_time_model&) = default;

 private:
  struct image_samples {
    run_time_regression regression;
    std::uint64_t last_sample{0};  ///< `sample_count_` at its newest sample

    friend bool operator==(const image_samples&, const image_samples&) = default;
  };
  struct customer_samples {
    run_time_regression all;
    std::map<std::string, image_samples, std::less<>> images;

    friend bool operator==(const customer_samples&, const customer_samples&) = default;
  };
  using customers = std::map<std::string, customer_samples, std::less<>>;

  /// @return null if nothing was learned of the queue and customer.
  [[nodiscard]] const customer_samples* Find(const run_time_key& key) const;
  customer_samples& Open(const run_time_key& key);
  image_samples& OpenImage(customer_samples& samples, std::string_view image);

  std::map<std::string, customers, std::less<>> queues_;
  std::uint64_t sample_count_{0};
};

}  // namespace rosearch::sched

#endif  // ROSEARCH_SCHED_RUN_TIME_MODEL_H_
