#ifndef ROSEARCH_CONFIG_DOCUMENT_READER_H_
#define ROSEARCH_CONFIG_DOCUMENT_READER_H_

#include <boost/json/object.hpp>
#include <string_view>
#include <vector>

#include "rosearch/config/fault.h"
#include "rosearch/config/schema.h"

namespace rosearch::config {

/// A JSON document in which every key of its schema is present with the right type, and what was
/// wrong with the text. A faulty value is replaced by its fallback or by the least allowed one, so
/// that later checks go on and report their own faults at the same time.
struct document {
  boost::json::object value;
  std::vector<fault> faults;
};

/// Checks JSON text against a schema.
class document_reader {
 public:
  /// @param keys  must outlive the reader.
  explicit constexpr document_reader(const schema& keys) noexcept : keys_{&keys} {}

  /// @param text  JSON.
  /// @return the completed document and all of its faults.
  [[nodiscard]] document Read(std::string_view text) const;

 private:
  const schema* keys_;
};

/// @return the word nearest to `word` by edit distance; empty where none is near.
[[nodiscard]] std::string_view NearestKey(std::string_view word, const schema& keys);

}  // namespace rosearch::config

#endif  // ROSEARCH_CONFIG_DOCUMENT_READER_H_
