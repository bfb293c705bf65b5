#include "rosearch/net/internal/request_reader.h"

#include <boost/asio/buffer.hpp>
#include <catch2/catch.hpp>
#include <string>
#include <string_view>

namespace rosearch::internal::test {
namespace {

constexpr request_limits kLimits{1024, 4096};

/// Gives a reader bytes in pieces, as a connection does.
class feed {
 public:
  explicit feed(std::size_t piece = 16'384) : piece_{piece} {}

  read_progress Give(std::string_view bytes) {
    auto progress = read_progress::kNeedsMore;
    for (std::size_t at = 0; at < bytes.size(); at += piece_) {
      const auto piece = bytes.substr(at, piece_);
      buffer.commit(boost::asio::buffer_copy(buffer.prepare(piece.size()),
                                             boost::asio::buffer(piece.data(), piece.size())));
      progress = reader.Read(buffer);
      while (progress == read_progress::kHead) {
        progress = buffer.size() > 0 ? reader.Read(buffer) : read_progress::kNeedsMore;
      }
      if (progress != read_progress::kNeedsMore) {
        return progress;
      }
      most_unread = std::max(most_unread, buffer.size());
    }
    return progress;
  }

  request_reader reader{kLimits};
  boost::beast::flat_buffer buffer;
  std::size_t most_unread{0};

 private:
  std::size_t piece_;
};

std::string Repeated(std::string_view text, int times) {
  std::string all;
  for (int at = 0; at < times; ++at) {
    all += text;
  }
  return all;
}

const std::string kChunkedHead =
    "POST /a?b=c HTTP/1.1\r\nHost: here\r\nTransfer-Encoding: chunked\r\n\r\n";

// A single request within the limits is read, however it is cut.
TEST_CASE("a body of the largest size is read in chunks of any size") {
  for (const std::size_t piece : {1U, 7U, 512U, 16'384U}) {
    for (const auto* const chunk : {"1\r\nx\r\n", "00000001\r\nx\r\n", "1;a=b\r\nx\r\n"}) {
      feed chunked{piece};
      CHECK(chunked.Give(kChunkedHead + Repeated(chunk, 4096) + "0\r\n\r\n") ==
            read_progress::kWhole);
      CHECK(chunked.reader.TakeCall().body == std::string(4096, 'x'));
    }
  }
}

TEST_CASE("a head and a body that is announced are read in pieces of any size") {
  for (const std::size_t piece : {1U, 7U, 16'384U}) {
    feed announced{piece};
    CHECK(announced.Give("POST /a%20b?c=d HTTP/1.1\r\nHost: here\r\nContent-Length: 4096\r\n\r\n" +
                         std::string(4096, 'y')) == read_progress::kWhole);
    const auto call = announced.reader.TakeCall();
    CHECK(call.method == "POST");
    CHECK(call.path == "/a b");
    CHECK(call.query.at("c") == "d");
    CHECK(call.headers.at("host") == "here");
    CHECK(call.body.size() == 4096);
  }
}

TEST_CASE("what follows a request stays for the next one") {
  feed pipelined;
  CHECK(pipelined.Give("GET / HTTP/1.1\r\n\r\nGET /next HTTP/1.1\r\n\r\n") ==
        read_progress::kWhole);
  CHECK(pipelined.buffer.size() == std::string_view{"GET /next HTTP/1.1\r\n\r\n"}.size());
}

// Trailers without end were kept until the process had no memory left.
TEST_CASE("trailers without end are refused at the limit of a head") {
  feed trailers{100};
  CHECK(trailers.Give(kChunkedHead + "2\r\n{}\r\n0\r\n" + Repeated("a: b\r\n", 10'000)) ==
        read_progress::kFramingTooLarge);
  CHECK(trailers.most_unread <= kLimits.head_bytes);
}

TEST_CASE("a chunk's extension without end is refused at the limit of a head") {
  feed extension{100};
  CHECK(extension.Give(kChunkedHead + "2;a=" + std::string(100'000, 'e')) ==
        read_progress::kFramingTooLarge);
  CHECK(extension.most_unread <= kLimits.head_bytes);
}

TEST_CASE("extensions of many chunks are refused at the limit of a head together") {
  feed extensions;
  CHECK(extensions.Give(kChunkedHead + Repeated("1;" + std::string(500, 'e') + "\r\nx\r\n", 100)) ==
        read_progress::kFramingTooLarge);
}

TEST_CASE("too large a head or body is refused as soon as that is known") {
  CHECK(feed{}.Give("GET / HTTP/1.1\r\nA: " + std::string(2000, 'a')) ==
        read_progress::kHeadTooLarge);
  CHECK(feed{}.Give("POST / HTTP/1.1\r\nContent-Length: 4097\r\n\r\n") ==
        read_progress::kBodyTooLarge);
  CHECK(feed{}.Give(kChunkedHead + "1001\r\n") == read_progress::kBodyTooLarge);
  CHECK(feed{}.Give("no request\r\n\r\n") == read_progress::kMalformed);
}

// A trailer replaced the host, by which the queue of a job is chosen.
TEST_CASE("a trailer is no field of the head") {
  feed trailer;
  CHECK(trailer.Give(kChunkedHead + "2\r\n{}\r\n0\r\nHost: elsewhere\r\nX-Key: k\r\n\r\n") ==
        read_progress::kWhole);
  const auto call = trailer.reader.TakeCall();
  CHECK(call.headers.at("host") == "here");
  CHECK_FALSE(call.headers.contains("x-key"));
}

// A head alone reserved the memory of the largest body.
TEST_CASE("a body costs what has arrived, not what is announced") {
  feed announced;
  CHECK(announced.Give("POST / HTTP/1.1\r\nContent-Length: 4096\r\n\r\n") ==
        read_progress::kNeedsMore);
  CHECK(announced.reader.BodyBytes() < 100);
}

TEST_CASE("a head costs what its fields do in memory") {
  feed fields;
  CHECK(fields.Give("POST / HTTP/1.1\r\na:\r\nb:\r\nc:\r\nd:\r\nContent-Length: 9\r\n\r\n") ==
        read_progress::kNeedsMore);
  CHECK(fields.reader.HeldBytes() > 500);
}

}  // namespace
}  // namespace rosearch::internal::test
