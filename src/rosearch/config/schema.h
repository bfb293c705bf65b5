#ifndef ROSEARCH_CONFIG_SCHEMA_H_
#define ROSEARCH_CONFIG_SCHEMA_H_

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>

namespace rosearch::config {

class schema;

/// What may stand at a key.
enum class field_type {
  kText,      ///< text of `least` to `most` bytes
  kNumber,    ///< a whole number from `least` to `most`
  kFlag,      ///< true or false
  kWord,      ///< one of `words`
  kObject,    ///< an object with the keys of `members`
  kList,      ///< a list of `least` to `most` objects with the keys of `members`
  kTextList,  ///< a list of `least` to `most` texts, none of them empty
};

/// The fallback of a key that has to be given.
inline constexpr std::string_view kRequired{};

/// The fallback of a key that may be left out and then has no value.
inline constexpr std::string_view kOptional{"null"};

/// One key of a JSON document: the checker, the defaults and the documentation all read this row.
struct field {
  std::string_view key;
  field_type type;
  std::string_view fallback;  ///< JSON text that stands in for an absent key
  std::string_view unit;
  std::string_view about;
  std::int64_t least{0};
  std::int64_t most{0};
  std::span<const std::string_view> words{};
  const schema* members{nullptr};
};

/// The keys that one object may hold.
class schema {
 public:
  template <std::size_t Count>
  explicit constexpr schema(const field (&fields)[Count]) noexcept : fields_{fields} {}

  [[nodiscard]] constexpr std::span<const field> fields() const noexcept { return fields_; }

 private:
  std::span<const field> fields_;
};

/// @param keys  the keys to document.
/// @return a Markdown table with one row for each key, those of nested objects included.
[[nodiscard]] std::string MarkdownTable(const schema& keys);

}  // namespace rosearch::config

#endif  // ROSEARCH_CONFIG_SCHEMA_H_
