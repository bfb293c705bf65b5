#include "rosearch/net/internal/request_reader.h"

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/field.hpp>
#include <cctype>
#include <charconv>
#include <string>
#include <string_view>
#include <utility>

namespace rosearch::internal {
namespace {

namespace beast = boost::beast;
namespace http = boost::beast::http;

/// What a field costs beyond its bytes: a node of the map, with two strings.
constexpr std::size_t kFieldCost = 160;
/// Bytes that frame one byte of a body in a chunk of its own, with a padded size.
constexpr std::size_t kFramingForEachByte = 16;

std::string PercentDecoded(std::string_view text) {
  std::string decoded;
  for (std::size_t at = 0; at < text.size(); ++at) {
    unsigned value = 0;
    if (text[at] == '%' && at + 2 < text.size() &&
        std::from_chars(text.data() + at + 1, text.data() + at + 3, value, 16).ptr ==
            text.data() + at + 3) {
      decoded.push_back(static_cast<char>(value));
      at += 2;
    } else {
      decoded.push_back(text[at] == '+' ? ' ' : text[at]);
    }
  }
  return decoded;
}

std::map<std::string, std::string> QueryOf(std::string_view text) {
  std::map<std::string, std::string> query;
  while (!text.empty()) {
    const auto end = text.find('&');
    const auto pair = text.substr(0, end);
    const auto equals = pair.find('=');
    const auto value = equals == std::string_view::npos ? "" : pair.substr(equals + 1);
    query[PercentDecoded(pair.substr(0, equals))] = PercentDecoded(value);
    text = end == std::string_view::npos ? "" : text.substr(end + 1);
  }
  return query;
}

}  // namespace

request_reader::request_reader(const request_limits& limits) : limits_{limits} {
  parser_.header_limit(limits.head_bytes);
  parser_.body_limit(limits.body_bytes);
}

read_progress request_reader::Read(beast::flat_buffer& buffer) {
  while (buffer.size() > 0) {
    const bool had_head = parser_.is_header_done();
    const auto body_before = parser_.get().body().size();
    beast::error_code failed;
    // The parser stops behind the head, unless it is eager.
    parser_.eager(had_head);
    const auto used = parser_.put(buffer.data(), failed);
    buffer.consume(used);
    if (had_head) {
      framing_bytes_ += used - (parser_.get().body().size() - body_before);
    }
    if (failed || HasTooMuchFraming()) {
      return AfterPut(failed, buffer.size());
    }
    if (!had_head && parser_.is_header_done()) {
      TakeHead();
      return parser_.is_done() ? read_progress::kWhole : read_progress::kHead;
    }
    if (parser_.is_done()) {
      return read_progress::kWhole;
    }
  }
  return read_progress::kNeedsMore;
}

read_progress request_reader::AfterPut(const beast::error_code& failed, std::size_t unread) const {
  if (failed == http::error::header_limit) {
    return read_progress::kHeadTooLarge;
  }
  if (failed == http::error::body_limit) {
    return read_progress::kBodyTooLarge;
  }
  if (failed && failed != http::error::need_more) {
    return read_progress::kMalformed;
  }
  // A chunk's line, and all trailers together, wait for their end in the buffer.
  const bool waits_for_more = parser_.is_header_done() && unread > limits_.head_bytes;
  return waits_for_more || HasTooMuchFraming() ? read_progress::kFramingTooLarge
                                               : read_progress::kNeedsMore;
}

bool request_reader::HasTooMuchFraming() const {
  return framing_bytes_ > limits_.head_bytes + kFramingForEachByte * parser_.get().body().size();
}

void request_reader::TakeHead() {
  auto& head = parser_.get();
  call_.method = std::string{head.method_string()};
  const std::string_view target{head.target().data(), head.target().size()};
  const auto mark = target.find('?');
  call_.path = PercentDecoded(target.substr(0, mark));
  if (mark != std::string_view::npos) {
    call_.query = QueryOf(target.substr(mark + 1));
  }
  expects_continue_ = beast::iequals(head[http::field::expect], "100-continue");
  head_cost_ = target.size() + call_.query.size() * kFieldCost;
  for (const auto& field : head) {
    std::string name{field.name_string()};
    for (auto& letter : name) {
      letter = static_cast<char>(std::tolower(static_cast<unsigned char>(letter)));
    }
    head_cost_ += name.size() + field.value().size() + kFieldCost;
    call_.headers[std::move(name)] = std::string{field.value()};
  }
  head.clear();
}

std::size_t request_reader::HeldBytes() const { return head_cost_ + BodyBytes(); }

http_call request_reader::TakeCall() {
  call_.body = std::move(parser_.get().body());
  return std::move(call_);
}

}  // namespace rosearch::internal
