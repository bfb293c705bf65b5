#include "testbed/log_stand_in.h"

#include <algorithm>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <optional>
#include <string_view>
#include <utility>

#include "rosearch/platform/clock.h"
#include "rosearch/platform/json.h"
#include "rosearch/wire/platform.pb.h"
#include "testbed/stand_in.h"

namespace rosearch::testbed {
namespace {

constexpr std::string_view kPrefix = "/v1/streams/";
constexpr std::string_view kAppend = "/append";
constexpr std::uint64_t kDefaultMax = 1000;
constexpr duration kRateWindow = std::chrono::seconds{1};

}  // namespace

log_stand_in::log_stand_in(boost::asio::io_context& io, const fault_settings& fault)
    : io_{io}, fault_{fault} {}

void log_stand_in::Handle(const server_request& request, respond_function respond) {
  if (!request.path.starts_with(kPrefix)) {
    respond(NotFound());
    return;
  }
  auto name = request.path.substr(kPrefix.size());
  if (request.method == "GET") {
    Read(name, request, std::move(respond));
  } else if (request.method == "POST" && name.ends_with(kAppend)) {
    name.resize(name.size() - kAppend.size());
    Append(streams_[name], request, respond);
  } else {
    respond(NotFound());
  }
}

void log_stand_in::Append(stream& to, const server_request& request,
                          const respond_function& respond) {
  const auto body = FromJson<wire::log_append_request>(request.body);
  if (body.has_error()) {
    respond(BadRequest(body.error().detail));
    return;
  }
  const auto now = SteadyNow();
  Count(now);
  wire::log_append_answer answer;
  answer.set_first_offset(to.end());
  for (const auto& record : body.value().records()) {
    to.records.push_back({record, now});
    ++records_;
    bytes_ += record.size();
  }
  Expire(to);
  respond({.body = ToJson(answer)});
  for (auto at = to.waiting.begin(); at != to.waiting.end();) {
    if (at->from < to.end()) {
      const auto ready = std::move(*at);
      at = to.waiting.erase(at);
      ready.respond(Answer(to, ready.from, ready.max));
    } else {
      ++at;
    }
  }
}

void log_stand_in::Read(const std::string& name, const server_request& request,
                        respond_function respond) {
  auto& from = streams_[name];
  const auto offset = request.Number("from", 0);
  const auto max = request.Number("max", kDefaultMax);
  const std::chrono::milliseconds wait{request.Number("wait_ms", 0)};
  if (offset < from.end() || wait.count() == 0) {
    respond(Answer(from, offset, max));
    return;
  }
  const auto number = ++next_reader_;
  from.waiting.push_back({number, offset, max, std::move(respond)});
  After(io_, wait, [this, name, number] { GiveUp(name, number); });
}

void log_stand_in::GiveUp(const std::string& name, std::uint64_t number) {
  auto& from = streams_[name];
  const auto found = std::ranges::find(from.waiting, number, &reader::number);
  if (found == from.waiting.end()) {
    return;
  }
  const auto waited = std::move(*found);
  from.waiting.erase(found);
  waited.respond(Answer(from, waited.from, waited.max));
}

void log_stand_in::Expire(stream& from) const {
  const auto oldest = SteadyNow() - duration{fault_.retention_ms};
  const auto is_expired = [&] {
    return (fault_.retention > 0 && from.records.size() > fault_.retention) ||
           (fault_.retention_ms.count() > 0 && from.records.front().appended < oldest);
  };
  while (!from.records.empty() && is_expired()) {
    from.records.pop_front();
    ++from.first_offset;
  }
}

void log_stand_in::Count(time_point now) {
  ++appends_;
  recent_appends_.push_back(now);
  while (recent_appends_.front() <= now - kRateWindow) {
    recent_appends_.pop_front();
  }
  most_in_a_second_ = std::max<std::uint64_t>(most_in_a_second_, recent_appends_.size());
}

server_reply log_stand_in::Answer(stream& from, std::uint64_t offset, std::uint64_t max) const {
  Expire(from);
  wire::log_read_answer answer;
  answer.set_first_offset(from.first_offset);
  answer.set_end_offset(from.end());
  const auto begin = std::max(offset, from.first_offset);
  const auto end = std::min(from.end(), begin + std::min(max, from.end()));
  for (auto at = begin; at < end; ++at) {
    auto& record = *answer.add_records();
    record.set_offset(at);
    record.set_payload(from.records[at - from.first_offset].payload);
  }
  return {.body = ToJson(answer)};
}

std::string log_stand_in::Stats() const {
  const auto since = SteadyNow() - kRateWindow;
  const auto last_second =
      std::ranges::count_if(recent_appends_, [&](time_point appended) { return appended > since; });
  return boost::json::serialize(boost::json::object{
      {"appends", appends_},
      {"records", records_},
      {"bytes", bytes_},
      {"appends_last_second", last_second},
      {"most_appends_in_a_second", most_in_a_second_},
  });
}

}  // namespace rosearch::testbed
