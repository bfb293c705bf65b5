#include "testbed/executor_stand_in.h"

#include <algorithm>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <charconv>
#include <chrono>
#include <string_view>
#include <utility>

#include "rosearch/platform/answer.h"
#include "testbed/stand_in.h"

namespace rosearch::testbed {
namespace {

namespace json = boost::json;

constexpr std::string_view kRunTimeHeader = "x-run-ms";

/// @return the run time in the header, or else in the field run_ms of a JSON body, or else none.
std::chrono::milliseconds RunTime(const server_request& request) {
  const auto text = FindHeader(request.headers, kRunTimeHeader);
  std::uint32_t count = 0;
  std::from_chars(text.data(), text.data() + text.size(), count);
  json::error_code failed;
  const auto body = json::parse(request.body, failed);
  const auto* const field = body.is_object() ? body.get_object().if_contains("run_ms") : nullptr;
  if (text.empty() && field != nullptr) {
    count = field->to_number<std::uint32_t>(failed);
  }
  return std::chrono::milliseconds{count};
}

server_reply Refusal(unsigned status, std::string detail) {
  return {
      .status = status, .body = std::move(detail), .headers = {{std::string{kNotRunHeader}, "1"}}};
}

}  // namespace

executor_stand_in::executor_stand_in(boost::asio::io_context& io, const fault_settings& fault,
                                     std::uint64_t slots)
    : io_{io}, fault_{fault}, slots_{slots} {}

void executor_stand_in::Handle(const server_request& request, respond_function respond) {
  if (request.method == "GET" && request.path == "/runs") {
    respond({.body = Runs()});
  } else if (request.method != "POST") {
    respond(NotFound());
  } else if (fault_.refuse) {
    ++refused_;
    respond(Refusal(503, "leaving"));
  } else if (running_ >= slots_) {
    ++refused_;
    respond(Refusal(429, "no free slot"));
  } else {
    Run(request, std::move(respond));
  }
}

void executor_stand_in::Run(const server_request& request, respond_function respond) {
  const std::string id{FindHeader(request.headers, kRequestIdHeader)};
  ++runs_[id];
  ++ran_;
  ++running_;
  running_peak_ = std::max(running_peak_, running_);
  const auto answer = json::serialize(
      json::object{{"request", id}, {"path", request.path}, {"body", request.body}});
  const auto late = ran_ % 2 == 0 ? fault_.late_ms : std::chrono::milliseconds{0};
  const auto status = fault_.fail_all ? 500U : 200U;
  const auto finish = [this, respond = std::move(respond), answer, status] {
    --running_;
    respond({.status = status, .body = answer});
  };
  const auto span = RunTime(request) + late;
  if (span.count() == 0) {
    finish();
    return;
  }
  After(io_, span, finish);
}

std::string executor_stand_in::Runs() const {
  json::object runs;
  for (const auto& [id, count] : runs_) {
    runs[id] = count;
  }
  return json::serialize(json::object{{"runs", std::move(runs)}});
}

std::string executor_stand_in::Stats() const {
  return json::serialize(json::object{
      {"runs", ran_},
      {"refused", refused_},
      {"running", running_},
      {"running_peak", running_peak_},
      {"repeated", ran_ - runs_.size()},
  });
}

}  // namespace rosearch::testbed
