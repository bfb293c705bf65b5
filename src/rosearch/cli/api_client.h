#ifndef ROSEARCH_CLI_API_CLIENT_H_
#define ROSEARCH_CLI_API_CLIENT_H_

#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "rosearch/core/result.h"
#include "rosearch/core/time.h"
#include "rosearch/platform/http_client.h"

namespace rosearch {

/// One question to whichever entry answers.
struct api_request {
  std::string method{"GET"};
  std::string target;
  std::string body{};
  std::vector<http_header> headers{};
  /// Whether doing it twice has the effect of doing it once. Where it hasn't, the next entry is
  /// only asked after an answer that nothing was done, or where no connection was made.
  bool idempotent{true};
  /// How long one entry may take.
  duration limit{std::chrono::seconds{15}};

  friend bool operator==(const api_request&, const api_request&) = default;
};

using api_callback = std::function<void(result<http_reply>)>;

/// Asks entries in the order in which they were named. Not for use by two threads at a time.
class api_client {
 public:
  /// @param entries  host:port each; at least one.
  explicit api_client(std::vector<std::string> entries);
  ~api_client();
  api_client(const api_client&) = delete;
  api_client& operator=(const api_client&) = delete;

  /// @return the first final answer; the last entry's answer or error where none was final.
  [[nodiscard]] result<http_reply> Ask(api_request request);

  /// Asks `count` questions, at most `at_once` of them at a time.
  /// @param make  gives question `index`; called in ascending order.
  /// @param done  gets the answer to question `index`; answers come in any order.
  void AskAll(std::size_t count, std::size_t at_once,
              const std::function<api_request(std::size_t index)>& make,
              const std::function<void(std::size_t index, result<http_reply>)>& done);

 private:
  class impl;
  std::unique_ptr<impl> impl_;
};

namespace internal {

/// @return whether the next entry should be asked the same after this answer: the answer is none,
///   or says that asking again may help, and asking again does no harm.
[[nodiscard]] bool WorthNextEntry(const result<http_reply>& answer, bool idempotent);

}  // namespace internal
}  // namespace rosearch

#endif  // ROSEARCH_CLI_API_CLIENT_H_
