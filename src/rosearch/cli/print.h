#ifndef ROSEARCH_CLI_PRINT_H_
#define ROSEARCH_CLI_PRINT_H_

#include <boost/json/object.hpp>
#include <boost/json/value.hpp>
#include <functional>
#include <iosfwd>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "rosearch/cli/command_line.h"
#include "rosearch/config/fault.h"
#include "rosearch/core/result.h"
#include "rosearch/platform/http_client.h"

namespace rosearch {

/// One line of a table, a text for each column.
using table_row = std::vector<std::string>;

/// Writes rows in columns as wide as their widest text.
void PrintTable(std::ostream& out, const std::vector<table_row>& rows);

/// @return the text of a value: strings without quotes, everything else as JSON.
[[nodiscard]] std::string CellText(const boost::json::value& value);

/// @return the value of a key as text; empty where there is none.
[[nodiscard]] std::string CellText(const boost::json::object& row, std::string_view key);

/// @return a table of the array `key` of an answer, with these keys of its rows as columns.
[[nodiscard]] std::vector<table_row> RowsOf(const boost::json::object& answer, std::string_view key,
                                            const std::vector<std::string>& columns);

/// @return the error that an answer tells of, or none where it tells of success.
[[nodiscard]] std::optional<error> ErrorOf(const http_reply& reply);

/// @return the answer's object; empty where it is none.
[[nodiscard]] boost::json::object BodyOf(const http_reply& reply);

/// @return one line for people.
[[nodiscard]] std::string ErrorText(const error& why);

/// Writes faults to the standard error, or as JSON to the standard output.
void PrintFaults(const std::string& file, const std::vector<config::fault>& faults,
                 output_format format);

/// Ends a command with one answer.
/// @param table  writes a successful answer for people.
/// @return the exit code that stands for the answer.
[[nodiscard]] int PrintAnswer(const result<http_reply>& answer, output_format format,
                              const std::function<void(const boost::json::object&)>& table);

/// Prints the body of an answer as it came, or what kept it away.
/// @return the exit code that stands for it.
[[nodiscard]] int PrintText(const result<http_reply>& answer);

/// @return the exit code that stands for an answer.
[[nodiscard]] int ExitCodeOf(const result<http_reply>& answer);

}  // namespace rosearch

#endif  // ROSEARCH_CLI_PRINT_H_
