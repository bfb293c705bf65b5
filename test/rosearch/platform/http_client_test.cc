#include "rosearch/platform/http_client.h"

#include <array>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <chrono>
#include <memory>
#include <optional>
#include <stdexcept>
#include <string>
#include <utility>

#include "rosearch/platform/clock.h"

namespace rosearch {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using std::chrono::milliseconds;

/// A server whose connections can go silent: requests on them arrive, answers don't come.
class flaky_server {
 public:
  explicit flaky_server(asio::io_context& io)
      : acceptor_{io, tcp::endpoint{asio::ip::address_v4::loopback(), 0}} {
    asio::co_spawn(io, Accept(), asio::detached);
  }
  /// Silences the connections that are open now.
  void Silence() { silent_up_to_ = accepted_; }
  [[nodiscard]] std::string address() const {
    return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
  }
  [[nodiscard]] int accepted() const { return accepted_; }

 private:
  asio::awaitable<void> Accept() {
    while (true) {
      auto socket = co_await acceptor_.async_accept(asio::use_awaitable);
      asio::co_spawn(acceptor_.get_executor(), Serve(std::move(socket), ++accepted_),
                     asio::detached);
    }
  }
  asio::awaitable<void> Serve(tcp::socket socket, int number) {
    const std::string answer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
    std::array<char, 4'096> buffer{};
    while (true) {
      co_await socket.async_read_some(asio::buffer(buffer), asio::use_awaitable);
      if (number > silent_up_to_) {
        co_await asio::async_write(socket, asio::buffer(answer), asio::use_awaitable);
      }
    }
  }

  tcp::acceptor acceptor_;
  int accepted_{0};
  int silent_up_to_{0};
};

class calls {
 public:
  explicit calls(std::size_t most) : client_{io, http_options{most}} {}

  std::shared_ptr<std::optional<result<http_reply>>> Send(duration patience, bool fresh = false) {
    auto got = std::make_shared<std::optional<result<http_reply>>>();
    Send(patience, fresh, [got](result<http_reply> answer) { *got = std::move(answer); });
    return got;
  }
  void Send(duration patience, bool fresh, http_callback done) {
    http_request request;
    request.address = server.address();
    request.answer_by = SteadyNow() + patience;
    request.fresh_connection = fresh;
    client_.Send(request, std::move(done));
  }
  void Run(duration span) {
    io.restart();
    io.run_for(span);
  }

  asio::io_context io;
  flaky_server server{io};

 private:
  http_client client_;
};

bool Answered(const std::optional<result<http_reply>>& got) { return got && got->has_value(); }

}  // namespace

// All kept connections to the store go silent at once, without a reset. Each held up one request
// after the other.
TEST_CASE("after one kept connection was silent, none of the others is used") {
  calls made{8};
  const auto first = made.Send(milliseconds{500});
  const auto beside = made.Send(milliseconds{500});
  made.Run(milliseconds{50});
  REQUIRE(Answered(*first));
  REQUIRE(Answered(*beside));
  made.server.Silence();
  const auto silent = made.Send(milliseconds{100});
  made.Run(milliseconds{200});
  REQUIRE(*silent);
  CHECK((*silent)->error().kind == error_kind::kTimeout);
  const auto next = made.Send(milliseconds{100});
  made.Run(milliseconds{200});
  CHECK(Answered(*next));
}

// A fault of our own in a handler ended what its answer would have caused, such as all further
// watches of a worker, without a line in any log.
TEST_CASE("an exception that leaves a callback reaches whoever runs the io_context") {
  const bool fresh = GENERATE(false, true);
  calls made{1};
  made.Send(milliseconds{500}, fresh,
            [](const result<http_reply>&) { throw std::runtime_error{"odd"}; });
  CHECK_THROWS_AS(made.Run(milliseconds{500}), std::runtime_error);
  const auto next = made.Send(milliseconds{500});
  made.Run(milliseconds{100});
  CHECK(Answered(*next));
}

// All connections that are allowed wait for answers that never come. What is sent to find out
// whether the store is back must not wait for them.
TEST_CASE("a request that wants a fresh connection waits for no other") {
  calls made{1};
  const auto first = made.Send(milliseconds{500});
  made.Run(milliseconds{50});
  REQUIRE(Answered(*first));
  made.server.Silence();
  const auto silent = made.Send(milliseconds{2'000});
  const auto behind = made.Send(milliseconds{2'000});
  const auto fresh = made.Send(milliseconds{2'000}, true);
  made.Run(milliseconds{200});
  CHECK_FALSE(*silent);
  CHECK_FALSE(*behind);
  CHECK(Answered(*fresh));
  CHECK(made.server.accepted() == 2);
}

}  // namespace rosearch
