#include "rosearch/api/request_headers.h"

#include <algorithm>
#include <charconv>
#include <string_view>
#include <utility>

#include "rosearch/shard/task_key.h"

namespace rosearch {
namespace {

using std::chrono::milliseconds;

error Invalid(std::string detail) { return {error_kind::kInvalidRequest, std::move(detail)}; }

std::optional<bool> FlagOf(const std::string& text) {
  if (text == "true" || text == "false") {
    return text == "true";
  }
  return std::nullopt;
}

constexpr std::size_t kLongestLabel = 64;

/// Header values may hold any byte, but between entries a text that is not UTF-8 can't be read: the
/// message would be dropped and the caller would wait for its whole deadline.
bool IsPlainText(std::string_view text) {
  return std::ranges::all_of(text, [](char each) { return each >= ' ' && each <= '~'; });
}

}  // namespace

std::string HeaderOf(const http_call& call, const std::string& name) {
  const auto found = call.headers.find(name);
  return found == call.headers.end() ? std::string{} : found->second;
}

std::optional<std::uint64_t> NumberOf(const std::string& text) {
  std::uint64_t value = 0;
  const auto parsed = std::from_chars(text.data(), text.data() + text.size(), value);
  if (text.empty() || parsed.ec != std::errc{} || parsed.ptr != text.data() + text.size()) {
    return std::nullopt;
  }
  return value;
}

result<request_headers> ReadHeaders(const http_call& call) {
  request_headers read;
  read.customer = HeaderOf(call, "rosearch-customer");
  read.request = HeaderOf(call, "rosearch-request");
  read.label = HeaderOf(call, "rosearch-label");
  if (read.customer.empty()) {
    return Invalid("header Rosearch-Customer is missing");
  }
  if (!IsValidName(read.customer)) {
    return Invalid("header Rosearch-Customer: letters, digits and . _ : - only, at most 128");
  }
  if (read.label.size() > kLongestLabel || !IsPlainText(read.label)) {
    return Invalid("header Rosearch-Label: printable ASCII only, at most 64");
  }
  if (!read.request.empty() && !IsValidName(read.request)) {
    return Invalid("header Rosearch-Request: letters, digits and . _ : - only, at most 128");
  }
  for (const auto& [name, flag] : {std::pair{"rosearch-idempotent", &read.idempotent},
                                   std::pair{"rosearch-urgent", &read.urgent}}) {
    const auto text = HeaderOf(call, name);
    const auto value = FlagOf(text);
    if (!text.empty() && !value) {
      return Invalid(std::string{"header "} + name + ": true or false, found " + text);
    }
    *flag = value.value_or(false);
  }
  const auto issued = HeaderOf(call, "rosearch-issued-at");
  read.issued_ms = NumberOf(issued);
  if (!issued.empty() && !read.issued_ms) {
    return Invalid("header Rosearch-Issued-At: Unix time in milliseconds, found " + issued);
  }
  const auto deadline = HeaderOf(call, "rosearch-deadline-ms");
  const auto deadline_ms = NumberOf(deadline);
  if (!deadline.empty() &&
      (!deadline_ms || *deadline_ms == 0 || *deadline_ms > kLongestDeadlineMs)) {
    return Invalid("header Rosearch-Deadline-Ms: 1 to 3600000, found " + deadline);
  }
  if (deadline_ms) {
    read.deadline = milliseconds{*deadline_ms};
  }
  return read;
}

}  // namespace rosearch
