#ifndef ROSEARCH_CONFIG_TEXT_PATTERN_H_
#define ROSEARCH_CONFIG_TEXT_PATTERN_H_

#include <string>
#include <string_view>
#include <utility>

namespace rosearch::config {

/// Matches one text, every text that begins so (`night*`) or every text (`*`).
class text_pattern {
 public:
  /// Matches every text.
  text_pattern() = default;

  /// @param text  an exact text, or a prefix followed by `*`.
  explicit text_pattern(std::string text) : text_{std::move(text)} {
    is_prefix_ = text_.ends_with('*');
    if (is_prefix_) {
      text_.pop_back();
    }
  }

  [[nodiscard]] bool Matches(std::string_view candidate) const noexcept {
    return is_prefix_ ? candidate.starts_with(text_) : candidate == text_;
  }

  /// @return whether this one matches everything that `other` matches.
  [[nodiscard]] bool Covers(const text_pattern& other) const noexcept {
    return is_prefix_ ? other.text_.starts_with(text_) : *this == other;
  }

  [[nodiscard]] bool MatchesAll() const noexcept { return is_prefix_ && text_.empty(); }
  [[nodiscard]] bool IsExact() const noexcept { return !is_prefix_; }

  /// @return the text without the `*`.
  [[nodiscard]] const std::string& stem() const noexcept { return text_; }

  /// @return the pattern as it stands in a document.
  [[nodiscard]] std::string ToString() const { return is_prefix_ ? text_ + "*" : text_; }

  friend bool operator==(const text_pattern&, const text_pattern&) = default;

 private:
  std::string text_;
  bool is_prefix_{true};
};

}  // namespace rosearch::config

#endif  // ROSEARCH_CONFIG_TEXT_PATTERN_H_
