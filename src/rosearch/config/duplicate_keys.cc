#include "rosearch/config/duplicate_keys.h"

#include <boost/json/basic_parser_impl.hpp>
#include <cstddef>
#include <cstdint>
#include <set>

namespace rosearch::config::internal {
namespace {

namespace json = boost::json;

/// The object or list that the parser is in.
struct level {
  bool is_list{false};
  std::set<std::string> keys{};
  std::string key{};  ///< of the member being read
  std::size_t index{0};
};

/// Takes the events of the parser; its names and signatures are those that Boost.JSON asks for.
class key_handler {
 public:
  using code = boost::system::error_code;
  // NOLINTBEGIN(readability-identifier-naming): Boost.JSON looks for these names.
  static constexpr std::size_t max_object_size = SIZE_MAX;
  static constexpr std::size_t max_array_size = SIZE_MAX;
  static constexpr std::size_t max_key_size = SIZE_MAX;
  static constexpr std::size_t max_string_size = SIZE_MAX;
  // NOLINTEND(readability-identifier-naming)

  bool on_document_begin(code& /*failure*/) { return true; }
  bool on_document_end(code& /*failure*/) { return true; }
  bool on_object_begin(code& /*failure*/) { return Enter(false); }
  bool on_object_end(std::size_t /*count*/, code& /*failure*/) { return Leave(); }
  bool on_array_begin(code& /*failure*/) { return Enter(true); }
  bool on_array_end(std::size_t /*count*/, code& /*failure*/) { return Leave(); }
  bool on_key_part(std::string_view part, std::size_t /*count*/, code& /*failure*/) {
    partial_ += part;
    return true;
  }
  bool on_key(std::string_view part, std::size_t /*count*/, code& /*failure*/) {
    partial_ += part;
    auto& here = levels_.back();
    here.key.swap(partial_);
    partial_.clear();
    if (!here.keys.insert(here.key).second) {
      found_.push_back(Path());
    }
    return true;
  }
  bool on_string_part(std::string_view /*part*/, std::size_t /*count*/, code& /*failure*/) {
    return true;
  }
  bool on_string(std::string_view /*part*/, std::size_t /*count*/, code& /*failure*/) {
    return Next();
  }
  bool on_number_part(std::string_view /*part*/, code& /*failure*/) { return true; }
  bool on_int64(std::int64_t /*value*/, std::string_view /*text*/, code& /*failure*/) {
    return Next();
  }
  bool on_uint64(std::uint64_t /*value*/, std::string_view /*text*/, code& /*failure*/) {
    return Next();
  }
  bool on_double(double /*value*/, std::string_view /*text*/, code& /*failure*/) { return Next(); }
  bool on_bool(bool /*value*/, code& /*failure*/) { return Next(); }
  bool on_null(code& /*failure*/) { return Next(); }
  bool on_comment_part(std::string_view /*part*/, code& /*failure*/) { return true; }
  bool on_comment(std::string_view /*part*/, code& /*failure*/) { return true; }

  [[nodiscard]] const std::vector<std::string>& found() const noexcept { return found_; }

 private:
  bool Enter(bool is_list) {
    levels_.push_back({.is_list = is_list});
    return true;
  }
  bool Leave() {
    levels_.pop_back();
    return Next();
  }
  bool Next() {
    if (!levels_.empty() && levels_.back().is_list) {
      ++levels_.back().index;
    }
    return true;
  }
  [[nodiscard]] std::string Path() const {
    std::string path;
    for (const auto& each : levels_) {
      if (each.is_list) {
        path += "[" + std::to_string(each.index) + "]";
      } else {
        path += (path.empty() ? "" : ".") + each.key;
      }
    }
    return path;
  }

  std::vector<level> levels_;
  std::string partial_;
  std::vector<std::string> found_;
};

}  // namespace

std::vector<std::string> FindDuplicateKeys(std::string_view text) {
  json::basic_parser<key_handler> parser{json::parse_options{}};
  boost::system::error_code failure;
  parser.write_some(false, text.data(), text.size(), failure);
  return parser.handler().found();
}

}  // namespace rosearch::config::internal
