#ifndef ROSEARCH_SCHED_KEY_DIGEST_H_
#define ROSEARCH_SCHED_KEY_DIGEST_H_

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace rosearch::sched {

/// Digest of a caller's secret key. The key itself is neither kept nor forwarded, so it can't
/// appear in logs, dumps or stored records, and the time of a comparison tells nothing about it.
class key_digest {
 public:
  /// @return the digest of a key.
  [[nodiscard]] static key_digest Of(std::string_view key);
  /// @return the digest with these `bytes()`; nothing if they have the wrong length.
  [[nodiscard]] static std::optional<key_digest> FromBytes(std::string_view bytes);

  /// @return the digest in binary form, for messages between processes.
  [[nodiscard]] const std::string& bytes() const noexcept { return bytes_; }

  friend bool operator==(const key_digest&, const key_digest&) = default;

 private:
  explicit key_digest(std::string bytes) : bytes_{std::move(bytes)} {}

  std::string bytes_;
};

/// Hash function for unordered containers of digests.
struct key_digest_hash {
  [[nodiscard]] std::size_t operator()(const key_digest& digest) const noexcept {
    return std::hash<std::string>{}(digest.bytes());
  }
};

}  // namespace rosearch::sched

#endif  // ROSEARCH_SCHED_KEY_DIGEST_H_
