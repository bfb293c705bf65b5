#include "rosearch/cli/print.h"

#include <algorithm>
#include <boost/json/array.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <chrono>
#include <iostream>

#include "rosearch/api/answers.h"
#include "rosearch/cli/commands.h"

namespace rosearch {
namespace {

namespace json = boost::json;

constexpr unsigned kFirstFailure = 400;

}  // namespace

void PrintTable(std::ostream& out, const std::vector<table_row>& rows) {
  std::vector<std::size_t> widths;
  for (const auto& row : rows) {
    widths.resize(std::max(widths.size(), row.size()));
    for (std::size_t at = 0; at < row.size(); ++at) {
      widths[at] = std::max(widths[at], row[at].size());
    }
  }
  for (const auto& row : rows) {
    std::string line;
    for (std::size_t at = 0; at < row.size(); ++at) {
      line.append(row[at]);
      line.append(at + 1 == row.size() ? 0 : widths[at] - row[at].size() + 2, ' ');
    }
    out << line << '\n';
  }
}

std::string CellText(const json::value& value) {
  return value.is_string() ? std::string{value.as_string()} : json::serialize(value);
}

std::string CellText(const json::object& row, std::string_view key) {
  const auto* const found = row.if_contains(key);
  return found == nullptr ? std::string{} : CellText(*found);
}

std::vector<table_row> RowsOf(const json::object& answer, std::string_view key,
                              const std::vector<std::string>& columns) {
  std::vector<table_row> rows{columns};
  const auto* const found = answer.if_contains(key);
  if (found == nullptr || !found->is_array()) {
    return rows;
  }
  for (const auto& item : found->get_array()) {
    table_row row;
    for (const auto& column : columns) {
      row.push_back(item.is_object() ? CellText(item.get_object(), column) : std::string{});
    }
    rows.push_back(std::move(row));
  }
  return rows;
}

json::object BodyOf(const http_reply& reply) {
  json::error_code failed;
  auto value = json::parse(reply.body, failed);
  return !failed && value.is_object() ? std::move(value.get_object()) : json::object{};
}

std::optional<error> ErrorOf(const http_reply& reply) {
  if (reply.status < kFirstFailure) {
    return std::nullopt;
  }
  const auto body = BodyOf(reply);
  const auto* const shape = body.if_contains("error");
  if (shape == nullptr || !shape->is_object()) {
    return error{error_kind::kInternal, "status " + std::to_string(reply.status)};
  }
  const auto& told = shape->get_object();
  error why{ErrorKindFromName(CellText(told, "kind")), CellText(told, "detail")};
  const auto* const wait = told.if_contains("retry_after_ms");
  if (wait != nullptr && wait->is_int64()) {
    why.retry_after = std::chrono::milliseconds{wait->get_int64()};
  }
  return why;
}

std::string ErrorText(const error& why) {
  const auto& row = AnswerFor(why.kind);
  auto text =
      std::string{row.name} + " (" + std::string{OutcomeName(row.effect)} + "): " + why.detail;
  if (why.retry_after) {
    const auto wait = std::chrono::ceil<std::chrono::milliseconds>(*why.retry_after);
    text += "; ask again in " + std::to_string(wait.count()) + " ms";
  }
  return text;
}

void PrintFaults(const std::string& file, const std::vector<config::fault>& faults,
                 output_format format) {
  if (format == output_format::kJson) {
    std::cout << json::serialize(json::object{{"file", file}, {"faults", FaultsJson(faults)}})
              << '\n';
    return;
  }
  for (const auto& each : faults) {
    std::cerr << file << ": " << config::ToString(each) << '\n';
  }
}

int ExitCodeOf(const result<http_reply>& answer) {
  if (answer.has_error()) {
    return kExitNoAnswer;
  }
  if (!ErrorOf(answer.value())) {
    return kExitOk;
  }
  const auto body = BodyOf(answer.value());
  const auto* const shape = body.if_contains("error");
  const bool has_faults =
      shape != nullptr && shape->is_object() && shape->get_object().contains("faults");
  return has_faults ? kExitInvalid : kExitFailed;
}

int PrintAnswer(const result<http_reply>& answer, output_format format,
                const std::function<void(const json::object&)>& table) {
  if (answer.has_error()) {
    std::cerr << "no entry answered: " << ErrorText(answer.error()) << '\n';
    return kExitNoAnswer;
  }
  const auto& reply = answer.value();
  const auto told = ErrorOf(reply);
  if (format == output_format::kJson) {
    std::cout << reply.body;
  } else if (told) {
    std::cerr << ErrorText(*told) << '\n';
  } else {
    table(BodyOf(reply));
  }
  return ExitCodeOf(answer);
}

int PrintText(const result<http_reply>& answer) {
  if (answer.has_error()) {
    std::cerr << "no answer: " << ErrorText(answer.error()) << '\n';
    return kExitNoAnswer;
  }
  std::cout << answer.value().body;
  return ExitCodeOf(answer);
}

}  // namespace rosearch
