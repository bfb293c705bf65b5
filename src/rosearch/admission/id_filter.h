#ifndef ROSEARCH_ADMISSION_ID_FILTER_H_
#define ROSEARCH_ADMISSION_ID_FILTER_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace rosearch::admission {

/// Bloom filter over job ids. It never misses an added id; about one id in a hundred that was not
/// added is reported as contained. All processes of a cell compute the same bits.
class id_filter {
 public:
  /// @param expected_ids  number of ids that will be added.
  /// @param seed          differs between filters, so that a false positive of one filter is
  ///                      unlikely to be one of the next.
  id_filter(std::size_t expected_ids, std::uint64_t seed);
  /// @param bytes  as returned by `bytes()`; without any, the filter contains every id.
  /// @param seed   seed of the filter that `bytes` was taken from.
  id_filter(std::string bytes, std::uint64_t seed);

  void Add(std::string_view id);
  /// @return false only if the id was not added.
  [[nodiscard]] bool MayContain(std::string_view id) const;
  [[nodiscard]] const std::string& bytes() const noexcept { return bytes_; }

  friend bool operator==(const id_filter&, const id_filter&) = default;

 private:
  std::string bytes_;
  std::uint64_t seed_;
};

}  // namespace rosearch::admission

#endif  // ROSEARCH_ADMISSION_ID_FILTER_H_
