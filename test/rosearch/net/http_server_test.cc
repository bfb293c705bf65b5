#include "rosearch/net/http_server.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <list>
#include <memory>
#include <string>
#include <thread>
#include <utility>

namespace rosearch::test {
namespace {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

constexpr std::size_t kMemory = 2'000'000;
constexpr std::size_t kBodyBytes = 100'000;

/// A server on a thread of its own, and clients that write and read without one.
class served {
 public:
  explicit served(http_server_settings settings = {},
                  std::chrono::milliseconds patience = std::chrono::milliseconds{0})
      : memory{std::make_shared<client_memory>(kMemory)},
        server_{io_, std::move(settings),
                [patience](const http_call& call, const http_respond& respond) {
                  std::this_thread::sleep_for(patience);
                  respond({200, call.path == "/large" ? std::string(300'000, 'l') : "answer"});
                },
                memory},
        thread_{[this] { io_.run(); }} {}
  ~served() {
    work_.reset();
    io_.stop();
    thread_.join();
  }
  served(const served&) = delete;
  served& operator=(const served&) = delete;

  tcp::socket& Connect() {
    auto& made = clients_.emplace_back(clients_io_);
    made.connect({asio::ip::address_v4::loopback(), server_.port()});
    return made;
  }
  tcp::socket& Send(const std::string& text) {
    auto& client = Connect();
    boost::system::error_code ignored;
    asio::write(client, asio::buffer(text), ignored);
    return client;
  }
  /// @return all that a client gets until its connection ends.
  static std::string ReadAll(tcp::socket& client) {
    std::string all;
    std::array<char, 4096> piece{};
    boost::system::error_code failed;
    while (!failed) {
      all.append(piece.data(), client.read_some(asio::buffer(piece), failed));
    }
    return all;
  }
  std::string Ask(const std::string& path = "/") {
    return ReadAll(Send("GET " + path + " HTTP/1.1\r\nConnection: close\r\n\r\n"));
  }

  std::shared_ptr<client_memory> memory;

 private:
  asio::io_context io_{1};
  asio::executor_work_guard<asio::io_context::executor_type> work_{io_.get_executor()};
  asio::io_context clients_io_;
  std::list<tcp::socket> clients_;
  http_server server_;
  std::thread thread_;
};

std::string PartOfBody() {
  return "POST / HTTP/1.1\r\nContent-Length: 200000\r\n\r\n" + std::string(kBodyBytes, 'x');
}

}  // namespace

// A crowd of clients, each within its limits, must not take what others need; a client that has to
// go learns when to come back, whole, though more is shed while its refusal is being written.
TEST_CASE("clients whose bodies fill the memory are refused with a time, and others are served") {
  served doors;
  std::list<tcp::socket*> crowd;
  for (int number = 0; number < 70; ++number) {
    crowd.push_back(&doors.Send(PartOfBody()));
  }
  CHECK(doors.Ask().ends_with("answer"));
  const auto figures = doors.memory->Figures();
  CHECK(figures.held_bytes <= kMemory + kBodyBytes);
  CHECK(figures.refused.at(static_cast<std::size_t>(client_refusal::kMemory)) >= 40);
  int refused = 0;
  for (auto* const client : crowd) {
    client->non_blocking(true);
    std::array<char, 4096> piece{};
    boost::system::error_code failed;
    const auto count = client->read_some(asio::buffer(piece), failed);
    const std::string answer{piece.data(), count};
    if (count > 0) {
      CHECK(answer.starts_with("HTTP/1.1 503"));
      CHECK(answer.find("Retry-After: 1") != std::string::npos);
      CHECK(answer.find(R"("outcome":"not_run")") != std::string::npos);
      ++refused;
    }
  }
  CHECK(refused >= 20);  // those that still linger when the memory is full again are closed
}

// Idle connections took all places, so that nobody else got an answer.
TEST_CASE("a new connection is served though idle ones take all places") {
  http_server_settings settings;
  settings.max_connections = 4;
  served doors{settings};
  for (int number = 0; number < 40; ++number) {
    doors.Connect();
  }
  CHECK(doors.Ask().ends_with("answer"));
  CHECK(doors.memory->Figures().connections <= 4 + 16);
}

TEST_CASE("a request of the largest size is served though its copies exceed the memory") {
  served doors;
  const auto answer = doors.ReadAll(
      doors.Send("POST / HTTP/1.1\r\nConnection: close\r\nContent-Length: 300000\r\n\r\n" +
                 std::string(300'000, 'x')));
  CHECK(answer.ends_with("answer"));
}

// Questions with large answers, whose clients don't read, held as many of them as there were
// clients.
TEST_CASE("a large answer for which there is no room is refused with a time") {
  served doors;
  for (int number = 0; number < 20; ++number) {
    doors.Send("GET /large HTTP/1.1\r\n\r\n");
  }
  CHECK(doors.Ask().ends_with("answer"));
  CHECK(doors.memory->Figures().held_bytes <= 3 * kMemory);
}

TEST_CASE("a closed connection leaves nothing in the account") {
  served doors;
  CHECK(doors.Ask().ends_with("answer"));
  for (int tries = 0; tries < 200 && doors.memory->Figures().connections > 0; ++tries) {
    std::this_thread::sleep_for(std::chrono::milliseconds{20});
  }
  CHECK(doors.memory->Figures().connections == 0);
  CHECK(doors.memory->Figures().held_bytes == 0);
}

}  // namespace rosearch::test
