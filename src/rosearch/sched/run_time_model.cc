#include "rosearch/sched/run_time_model.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <cmath>
#include <cstdlib>
#include <vector>

#include "rosearch/wire/cell.pb.h"

namespace rosearch::sched {
namespace {

/// A longer name of an image is treated as no image, since callers choose it.
constexpr std::size_t kMaxImageBytes = 128;

/// Max ratio between prediction and declared estimate, either way.
constexpr double kMaxRatio = 30;

/// Statistics are stored in thousandths: compact, and far more precise than the samples are.
constexpr double kUnitsPerOne = 1000;

/// Largest logarithm of a run time in ms that a record may contain: a thousand years.
constexpr double kMaxLog = 32;

constexpr int kNumbers = 6;

/// Standard deviations above the prediction that one task in a hundred exceeds, and the samples
/// that it takes to know the standard deviation.
constexpr double kMaxSpread = 2.33;
constexpr double kMinWeightForSpread = 10;

/// Bytes that the tag and length of an entry or a name may take.
constexpr std::size_t kFramingBytes = 4;

double LogMs(duration time) {
  return std::log(std::chrono::duration<double, std::milli>{time}.count());
}

std::string_view UsableImage(std::string_view image) {
  return image.size() <= kMaxImageBytes ? image : std::string_view{};
}

void AddNumbers(const run_time_regression& from, wire::stored_run_time& to) {
  for (const double number : {from.weight, from.mean_declared, from.mean_measured,
                              from.variance_declared, from.variance_measured, from.covariance}) {
    to.add_numbers(static_cast<std::int32_t>(std::lround(number * kUnitsPerOne)));
  }
}

/// @return the regression of a stored entry; nothing if its numbers are impossible.
std::optional<run_time_regression> ReadNumbers(const wire::stored_run_time& from) {
  if (from.numbers_size() != kNumbers) {
    return std::nullopt;
  }
  std::array<double, kNumbers> numbers{};
  std::ranges::transform(from.numbers(), numbers.begin(),
                         [](std::int32_t each) { return each / kUnitsPerOne; });
  const auto [weight, declared, measured, variance_declared, variance_measured, covariance] =
      numbers;
  const double max_variance = kMaxLog * kMaxLog;
  // Rounding may take a covariance past its limit by a thousandth or two.
  const double max_covariance =
      std::sqrt(std::max(0.0, variance_declared * variance_measured)) + 2 / kUnitsPerOne;
  const bool possible = weight > 0 && weight <= run_time_regression::kMaxWeight &&
                        std::abs(declared) <= kMaxLog && std::abs(measured) <= kMaxLog &&
                        variance_declared >= 0 && variance_declared <= max_variance &&
                        variance_measured >= 0 && variance_measured <= max_variance &&
                        std::abs(covariance) <= max_covariance;
  return possible ? std::optional{run_time_regression{weight, declared, measured, variance_declared,
                                                      variance_measured, covariance}}
                  : std::nullopt;
}

/// Builds a record within a size: names are listed once, and entries refer to them by number.
class record_builder {
 public:
  /// @return whether the entry was added; otherwise it doesn't fit.
  bool Add(const run_time_key& key, const run_time_regression& regression) {
    wire::stored_run_time entry;
    AddNumbers(regression, entry);
    std::size_t size = kFramingBytes + entry.ByteSizeLong();
    for (const auto name : {key.queue, key.customer, key.image}) {
      size += 1 + kFramingBytes;  // the field with the number of the name
      if (!numbers_.contains(name)) {
        size += name.size() + kFramingBytes;
      }
    }
    if (size_ + size > run_time_model::kMaxRecordBytes) {
      return false;
    }
    size_ += size;
    entry.set_queue(NumberOf(key.queue));
    entry.set_customer(NumberOf(key.customer));
    entry.set_image(NumberOf(key.image));
    *record_.add_entries() = std::move(entry);
    return true;
  }
  [[nodiscard]] std::string Text() const { return record_.SerializeAsString(); }

 private:
  std::uint32_t NumberOf(std::string_view name) {
    const auto [found, added] =
        numbers_.try_emplace(name, static_cast<std::uint32_t>(numbers_.size()));
    if (added) {
      record_.add_names(std::string{name});
    }
    return found->second;
  }

  wire::stored_run_times record_;
  std::map<std::string_view, std::uint32_t> numbers_;
  std::size_t size_{0};  ///< upper bound
};

}  // namespace

const run_time_model::customer_samples* run_time_model::Find(const run_time_key& key) const {
  const auto queue = queues_.find(key.queue);
  if (queue == queues_.end()) {
    return nullptr;
  }
  const auto customer = queue->second.find(key.customer);
  return customer == queue->second.end() ? nullptr : &customer->second;
}

run_time_model::customer_samples& run_time_model::Open(const run_time_key& key) {
  auto queue = queues_.find(key.queue);
  if (queue == queues_.end()) {
    queue = queues_.try_emplace(std::string{key.queue}).first;
  }
  auto customer = queue->second.find(key.customer);
  if (customer == queue->second.end()) {
    customer = queue->second.try_emplace(std::string{key.customer}).first;
  }
  return customer->second;
}

run_time_model::image_samples& run_time_model::OpenImage(customer_samples& samples,
                                                         std::string_view image) {
  if (const auto found = samples.images.find(image); found != samples.images.end()) {
    return found->second;
  }
  if (samples.images.size() >= kMaxImages) {
    samples.images.erase(std::ranges::min_element(
        samples.images, {}, [](const auto& each) { return each.second.last_sample; }));
  }
  return samples.images[std::string{image}];
}

void run_time_model::Learn(const run_time_key& key, duration declared, duration measured,
                           double weight) {
  if (declared <= duration{} || measured <= duration{} || !(weight > 0)) {
    return;
  }
  const double x = LogMs(declared);
  const double y = LogMs(measured);
  ++sample_count_;
  auto& samples = Open(key);
  samples.all = samples.all.With(x, y, weight);
  if (const auto image = UsableImage(key.image); !image.empty()) {
    auto& of_image = OpenImage(samples, image);
    of_image.regression = of_image.regression.With(x, y, weight);
    of_image.last_sample = sample_count_;
  }
}

duration run_time_model::Predict(const run_time_key& key, duration declared) const {
  const auto* const samples = declared > duration{} ? Find(key) : nullptr;
  if (samples == nullptr) {
    return declared;
  }
  const double x = LogMs(declared);
  double predicted = x;
  // A regression of few samples is blended with the more general prediction.
  const auto blend = [&](const run_time_regression& with) {
    if (with.IsUsable()) {
      const double share = with.weight / (with.weight + run_time_regression::kPriorWeight);
      predicted += share * (with.At(x) - predicted);
    }
  };
  blend(samples->all);
  const auto& images = samples->images;
  if (const auto image = images.find(UsableImage(key.image)); image != images.end()) {
    blend(image->second.regression);
  }
  if (predicted == x) {
    return declared;
  }
  const double ratio = std::clamp(std::exp(predicted - x), 1 / kMaxRatio, kMaxRatio);
  const auto time = std::chrono::duration<double, duration::period>{declared} * ratio;
  return std::max(duration{1}, std::chrono::duration_cast<duration>(time));
}

std::optional<duration> run_time_model::PredictWithin(const run_time_key& key, duration declared,
                                                      double factor) const {
  const auto* const samples = declared > duration{} ? Find(key) : nullptr;
  if (samples == nullptr) {
    return std::nullopt;
  }
  const auto image = samples->images.find(UsableImage(key.image));
  const bool by_image = image != samples->images.end() && image->second.regression.IsUsable();
  const auto& regression = by_image ? image->second.regression : samples->all;
  const double spread = kMaxSpread * std::sqrt(regression.Residual());
  if (regression.weight < kMinWeightForSpread || spread > std::log(factor)) {
    return std::nullopt;
  }
  return Predict(key, declared);
}

std::string run_time_model::Encode() const {
  struct entry {
    run_time_key key;
    const run_time_regression* regression;
  };
  std::vector<entry> entries;
  Visit([&](const run_time_key& key, const run_time_regression& each) {
    entries.push_back({key, &each});
  });
  std::ranges::stable_sort(entries, [](const auto& a, const auto& b) {
    return a.regression->weight > b.regression->weight;
  });
  record_builder builder;
  for (const auto& each : entries) {
    if (!builder.Add(each.key, *each.regression)) {
      break;
    }
  }
  return builder.Text();
}

std::optional<run_time_model> run_time_model::Decode(std::string_view record) {
  wire::stored_run_times stored;
  if (record.size() > kMaxRecordBytes ||
      !stored.ParseFromArray(record.data(), static_cast<int>(record.size()))) {
    return std::nullopt;
  }
  run_time_model model;
  const auto names = static_cast<std::uint32_t>(stored.names_size());
  for (const auto& entry : stored.entries()) {
    const auto regression = ReadNumbers(entry);
    if (!regression || std::max({entry.queue(), entry.customer(), entry.image()}) >= names) {
      return std::nullopt;
    }
    const auto name = [&](std::uint32_t number) -> std::string_view {
      return stored.names(static_cast<int>(number));
    };
    auto& samples = model.Open({name(entry.queue()), name(entry.customer()), {}});
    if (const auto image = name(entry.image()); image.empty()) {
      samples.all = *regression;
    } else {
      model.OpenImage(samples, image).regression = *regression;
    }
  }
  return model;
}

}  // namespace rosearch::sched
