#ifndef ROSEARCH_TEST_PLATFORM_SERVED_H_
#define ROSEARCH_TEST_PLATFORM_SERVED_H_

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/value.hpp>
#include <chrono>
#include <cstdint>
#include <future>
#include <memory>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "rosearch/platform/clock.h"
#include "rosearch/platform/http_client.h"
#include "testbed/stand_in.h"

namespace rosearch::testing {

/// A bound against a test that hangs, never a measure.
inline constexpr duration kPatience = std::chrono::seconds{20};

/// Past this span after it was sent, a request to a stand-in that does not answer has timed out.
inline constexpr duration kShortWhile = std::chrono::milliseconds{150};

/// Nothing listens there.
inline constexpr auto kClosedAddress = "127.0.0.1:1";

/// Calls an asynchronous function and waits for its result.
/// @param start  receives the callback to pass on.
template <typename T, typename Start>
[[nodiscard]] result<T> Await(const Start& start) {
  const auto promise = std::make_shared<std::promise<result<T>>>();
  auto future = promise->get_future();
  start([promise](result<T> value) { promise->set_value(std::move(value)); });
  if (future.wait_for(kPatience) != std::future_status::ready) {
    return error{error_kind::kInternal, "the callback was never called"};
  }
  return future.get();
}

/// An io_context with threads of its own. Members that use it are declared after `io` and before
/// the threads start; `Stop` comes before they are destroyed.
class io_threads {
 public:
  io_threads() = default;
  ~io_threads() { Stop(); }
  io_threads(const io_threads&) = delete;
  io_threads& operator=(const io_threads&) = delete;

  [[nodiscard]] boost::asio::io_context& io() noexcept { return io_; }

  void Start(int count) {
    for (int i = 0; i < count; ++i) {
      threads_.emplace_back([this] { io_.run(); });
    }
  }

  void Stop() {
    io_.stop();
    for (auto& thread : threads_) {
      thread.join();
    }
    threads_.clear();
  }

 private:
  boost::asio::io_context io_;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work_{
      io_.get_executor()};
  std::vector<std::thread> threads_;
};

/// An HTTP client on two threads of its own.
class running_client {
 public:
  explicit running_client(const http_options& options = {}) : http_{threads_.io(), options} {
    threads_.Start(2);
  }
  ~running_client() { threads_.Stop(); }
  running_client(const running_client&) = delete;
  running_client& operator=(const running_client&) = delete;

  [[nodiscard]] http_client& http() noexcept { return http_; }

  /// Sends a request and waits for its answer.
  [[nodiscard]] result<http_reply> Fetch(http_request request) {
    return Await<http_reply>(
        [&](http_callback done) { http_.Send(std::move(request), std::move(done)); });
  }

 private:
  io_threads threads_;
  http_client http_;
};

/// A stand-in on a thread of its own, and a client to control it.
template <typename Logic>
class served {
 public:
  /// @param port  0 picks a free port.
  template <typename... Args>
  explicit served(std::uint16_t port, const Args&... args) : server_{threads_.io(), port, args...} {
    threads_.Start(1);
  }
  ~served() { threads_.Stop(); }
  served(const served&) = delete;
  served& operator=(const served&) = delete;

  [[nodiscard]] std::uint16_t port() const { return server_.port(); }
  [[nodiscard]] std::string address() const { return "127.0.0.1:" + std::to_string(port()); }

  /// @return the JSON of a GET, null where there was none.
  [[nodiscard]] boost::json::value Get(const std::string& path) {
    const auto reply = control_.Fetch({.address = address(), .target = path});
    return reply.has_value() ? boost::json::parse(reply.value().body) : boost::json::value{};
  }

  /// @return the status of a POST, 0 where there was none.
  unsigned Post(const std::string& path, const std::string& body) {
    const auto reply =
        control_.Fetch({.address = address(), .method = "POST", .target = path, .body = body});
    return reply.has_value() ? reply.value().status : 0;
  }

 private:
  running_client control_;
  io_threads threads_;
  testbed::stand_in<Logic> server_;
};

}  // namespace rosearch::testing

#endif  // ROSEARCH_TEST_PLATFORM_SERVED_H_
