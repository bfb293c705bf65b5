#include "rosearch/sched/run_time_model.h"

#include <catch2/catch.hpp>
#include <chrono>
#include <cmath>
#include <string>

#include "rosearch/core/random_source.h"
#include "rosearch/wire/cell.pb.h"

namespace rosearch::sched {
namespace {

using std::chrono::milliseconds;

constexpr run_time_key kKey{"cell.test/jobs/", "acme", {}};

double Ms(duration time) { return std::chrono::duration<double, std::milli>{time}.count(); }

milliseconds FromLog(double log) { return milliseconds{std::llround(std::exp(log))}; }

/// @return a number from -1 to 1.
double Signed(random_source& random) {
  return static_cast<double>(random.Between(-1'000, 1'000)) / 1'000;
}

/// Teaches a model tasks of about 700 ms whose estimates are off by up to a factor of ten.
void LearnOffEstimates(run_time_model& model, const run_time_key& key, int samples,
                       std::uint64_t seed) {
  random_source random{seed};
  for (int at = 0; at < samples; ++at) {
    const double real = std::log(700.0) + 0.3 * Signed(random);
    model.Learn(key, FromLog(real + std::log(10.0) * Signed(random)), FromLog(real), 1);
  }
}

}  // namespace

// Estimates that are off by up to nine tenths must not decide about a job once run times are known.
TEST_CASE("predictions converge to the measured run times") {
  run_time_model model;
  CHECK(model.Predict(kKey, milliseconds{100}) == milliseconds{100});
  LearnOffEstimates(model, kKey, 100, 1);
  for (const auto declared : {milliseconds{100}, milliseconds{700}, milliseconds{5'000}}) {
    CHECK(Ms(model.Predict(kKey, declared)) == Approx(700).epsilon(0.25));
  }
}

TEST_CASE("predictions follow a change of the run times") {
  run_time_model model;
  for (int at = 0; at < 200; ++at) {
    model.Learn(kKey, milliseconds{500}, milliseconds{500}, 1);
  }
  for (int at = 0; at < 400; ++at) {
    model.Learn(kKey, milliseconds{500}, milliseconds{2'000}, 1);
  }
  CHECK(Ms(model.Predict(kKey, milliseconds{500})) == Approx(2'000).epsilon(0.1));
}

// A correction by noise would make a queue with accurate estimates worse.
TEST_CASE("a queue with accurate estimates is predicted as declared") {
  run_time_model model;
  random_source random{2};
  for (int at = 0; at < 300; ++at) {
    const double declared = std::log(2'000.0) + Signed(random);
    model.Learn(kKey, FromLog(declared), FromLog(declared + 0.3 * Signed(random)), 1);
    CHECK(model.Predict(kKey, milliseconds{3'000}) == milliseconds{3'000});
  }
}

// A task in a hundred takes seven times as long; jobs must not be given more time for it.
TEST_CASE("one outlier in a hundred doesn't bias the prediction") {
  run_time_model clean;
  run_time_model disturbed;
  for (int at = 0; at < 1'000; ++at) {
    clean.Learn(kKey, milliseconds{200}, milliseconds{700}, 1);
    disturbed.Learn(kKey, milliseconds{200}, milliseconds{at % 100 == 50 ? 4'900 : 700}, 1);
  }
  const auto expected = Ms(clean.Predict(kKey, milliseconds{200}));
  CHECK(expected == Approx(700).epsilon(0.05));
  CHECK(Ms(disturbed.Predict(kKey, milliseconds{200})) == Approx(expected).epsilon(0.02));
}

// A customer could otherwise have the jobs of another ordered late by its own wrong estimates.
TEST_CASE("the estimates of a customer don't affect the predictions of another") {
  run_time_model model;
  run_time_model alone;
  const run_time_key other{kKey.queue, "other", "image"};
  const run_time_key with_image{kKey.queue, kKey.customer, "image"};
  LearnOffEstimates(model, with_image, 50, 3);
  LearnOffEstimates(alone, with_image, 50, 3);
  for (int at = 0; at < 500; ++at) {
    model.Learn(other, milliseconds{100}, milliseconds{9'000}, 1);
  }
  for (const auto declared : {milliseconds{100}, milliseconds{700}, milliseconds{5'000}}) {
    CHECK(model.Predict(with_image, declared) == alone.Predict(with_image, declared));
  }
  CHECK(model.Predict({kKey.queue, "third", "image"}, milliseconds{100}) == milliseconds{100});
}

TEST_CASE("a prediction is by image, and falls back to the queue for an image with few samples") {
  run_time_model model;
  for (int at = 0; at < 50; ++at) {
    model.Learn({kKey.queue, kKey.customer, "small"}, milliseconds{1'000}, milliseconds{200}, 1);
    model.Learn({kKey.queue, kKey.customer, "large"}, milliseconds{1'000}, milliseconds{5'000}, 1);
  }
  const auto predict = [&](std::string_view image) {
    return Ms(model.Predict({kKey.queue, kKey.customer, image}, milliseconds{1'000}));
  };
  CHECK(predict("small") == Approx(200).epsilon(0.15));
  CHECK(predict("large") == Approx(5'000).epsilon(0.15));
  CHECK(predict("new") == predict({}));
}

// Neither the declared estimate nor the mean of the queue is enough: in one traced day of short and
// of long work, their errors had these sizes.
TEST_CASE("predictions are better than the declared estimates and than the mean run time") {
  for (const double correlation : {0.65, 0.43}) {
    random_source random{11};
    // The sum of three such numbers has a variance of 1 and is about normally distributed.
    const auto normal = [&] { return Signed(random) + Signed(random) + Signed(random); };
    run_time_model model;
    double by_model = 0;
    double by_declared = 0;
    double by_mean = 0;
    for (int at = 0; at < 1'000; ++at) {
      const double deviation = normal();
      const double other = std::sqrt(1 - correlation * correlation) * normal();
      const double real = std::log(2'000.0) + 0.67 * deviation;
      const double declared = std::log(2'000.0) + 1.1 * (correlation * deviation + other);
      if (at >= 50) {
        const auto predicted = std::log(Ms(model.Predict(kKey, FromLog(declared))));
        by_model += std::pow(predicted - real, 2);
        by_declared += std::pow(declared - real, 2);
        by_mean += std::pow(std::log(2'000.0) - real, 2);
      }
      model.Learn(kKey, FromLog(declared), FromLog(real), 1);
    }
    CHECK(by_model < 0.6 * by_declared);
    CHECK(by_model < by_mean);
  }
}

// A run must not be taken for a slow one where run times differ as much as slow workers do.
TEST_CASE("a run time is only typical if others hardly exceed it") {
  run_time_model steady;
  run_time_model varied;
  random_source random{10};
  for (int at = 0; at < 9; ++at) {
    steady.Learn(kKey, milliseconds{500}, milliseconds{500}, 1);
  }
  CHECK_FALSE(steady.PredictWithin(kKey, milliseconds{500}, 2.5));
  for (int at = 0; at < 100; ++at) {
    steady.Learn(kKey, milliseconds{500}, FromLog(std::log(800.0) + 0.3 * Signed(random)), 1);
    varied.Learn(kKey, milliseconds{500}, FromLog(std::log(800.0) + Signed(random)), 1);
  }
  const auto typical = steady.PredictWithin(kKey, milliseconds{500}, 2.5);
  REQUIRE(typical);
  CHECK(Ms(*typical) == Approx(800).epsilon(0.1));
  CHECK_FALSE(varied.PredictWithin(kKey, milliseconds{500}, 2.5));
  CHECK_FALSE(steady.PredictWithin({kKey.queue, "other", {}}, milliseconds{500}, 2.5));
}

// Callers choose the names of images, so their number must not fill the leader's memory.
TEST_CASE("the number of images per queue and customer is bounded") {
  run_time_model model;
  for (int at = 0; at < 1'000; ++at) {
    const auto image = "image-" + std::to_string(at);
    model.Learn({kKey.queue, kKey.customer, image}, milliseconds{500}, milliseconds{500}, 1);
  }
  std::size_t entries = 0;
  model.Visit([&](const run_time_key&, const run_time_regression&) { ++entries; });
  CHECK(entries == run_time_model::kMaxImages + 1);
}

TEST_CASE("a decoded model predicts like the encoded one") {
  run_time_model model;
  LearnOffEstimates(model, kKey, 60, 4);
  LearnOffEstimates(model, {kKey.queue, "other", "image"}, 60, 5);
  const auto decoded = run_time_model::Decode(model.Encode());
  REQUIRE(decoded);
  for (const auto& key : {kKey, run_time_key{kKey.queue, "other", "image"}}) {
    CHECK(Ms(decoded->Predict(key, milliseconds{2'000})) ==
          Approx(Ms(model.Predict(key, milliseconds{2'000}))).epsilon(0.01));
  }
  CHECK(run_time_model::Decode(decoded->Encode()) == decoded);
}

// One caller with a strange image name must not make the whole record unreadable.
TEST_CASE("a name that is not UTF-8 is stored and read again") {
  run_time_model model;
  const run_time_key key{kKey.queue, kKey.customer, "image-\xff\xfe"};
  LearnOffEstimates(model, key, 60, 9);
  const auto decoded = run_time_model::Decode(model.Encode());
  REQUIRE(decoded);
  CHECK(Ms(decoded->Predict(key, milliseconds{100})) ==
        Approx(Ms(model.Predict(key, milliseconds{100}))).epsilon(0.01));
}

// A large cell must not send large records through a peer with a slow link.
TEST_CASE("the record of 200 queues with 21 customers is bounded and keeps the most used") {
  run_time_model model;
  const std::string busiest = "queue-150.cell.test/jobs/";
  for (int queue = 0; queue < 200; ++queue) {
    const auto name = "queue-" + std::to_string(queue) + ".cell.test/jobs/";
    for (int customer = 0; customer < 21; ++customer) {
      const auto of = "customer-" + std::to_string(customer);
      LearnOffEstimates(model, {name, of, "image"}, name == busiest ? 40 : 5, 6);
    }
  }
  const auto record = model.Encode();
  CHECK(record.size() <= run_time_model::kMaxRecordBytes);
  CHECK(record.size() > run_time_model::kMaxRecordBytes / 2);
  const auto decoded = run_time_model::Decode(record);
  REQUIRE(decoded);
  const run_time_key kept{busiest, "customer-20", "image"};
  CHECK(Ms(decoded->Predict(kept, milliseconds{100})) ==
        Approx(Ms(model.Predict(kept, milliseconds{100}))).epsilon(0.01));
}

// A new leader must start, with plausible predictions, whatever the record contains.
TEST_CASE("garbage is decoded as no model or a usable one") {
  run_time_model model;
  LearnOffEstimates(model, kKey, 60, 7);
  const auto record = model.Encode();
  random_source random{8};
  for (int at = 0; at < 3'000; ++at) {
    auto damaged = record;
    for (auto left = random.Between(1, 4); left > 0; --left) {
      const auto position = random.Between(0, static_cast<std::int64_t>(damaged.size()) - 1);
      damaged[static_cast<std::size_t>(position)] = static_cast<char>(random.Between(0, 255));
    }
    if (random.Between(0, 3) == 0) {
      damaged.resize(static_cast<std::size_t>(
          random.Between(0, static_cast<std::int64_t>(damaged.size()) - 1)));
    }
    if (const auto decoded = run_time_model::Decode(damaged)) {
      const auto predicted = decoded->Predict(kKey, milliseconds{1'000});
      CHECK(predicted >= milliseconds{33});
      CHECK(predicted <= milliseconds{30'001});
    }
  }
  CHECK_FALSE(run_time_model::Decode("garbage"));
  CHECK_FALSE(run_time_model::Decode(std::string(run_time_model::kMaxRecordBytes + 1, '\0')));
  wire::stored_run_times impossible;
  impossible.add_names("");
  for (const int number : {5'000, 6'000, 6'000, -1, 100, 0}) {
    if (impossible.entries_size() == 0) {
      impossible.add_entries();
    }
    impossible.mutable_entries(0)->add_numbers(number);
  }
  CHECK_FALSE(run_time_model::Decode(impossible.SerializeAsString()));
}

TEST_CASE("tasks without an estimate or a run time are not learned") {
  run_time_model model;
  for (int at = 0; at < 50; ++at) {
    model.Learn(kKey, duration{}, milliseconds{500}, 1);
    model.Learn(kKey, milliseconds{500}, duration{}, 1);
    model.Learn(kKey, milliseconds{500}, milliseconds{500}, 0);
  }
  CHECK(model == run_time_model{});
  CHECK(model.Predict(kKey, duration{}) == duration{});
}

}  // namespace rosearch::sched
