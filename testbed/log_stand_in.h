#ifndef ROSEARCH_TESTBED_LOG_STAND_IN_H_
#define ROSEARCH_TESTBED_LOG_STAND_IN_H_

#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <string>

#include "rosearch/core/time.h"
#include "testbed/fault.h"
#include "testbed/http_server.h"

namespace rosearch::testbed {

/// The platform's log, in memory.
///   POST /v1/streams/NAME/append, GET /v1/streams/NAME?from=&max=&wait_ms=, GET /stats
class log_stand_in {
 public:
  log_stand_in(boost::asio::io_context& io, const fault_settings& fault);

  void Handle(const server_request& request, respond_function respond);

  /// @return {"appends", "records", "bytes", "appends_last_second", "most_appends_in_a_second"}
  [[nodiscard]] std::string Stats() const;

 private:
  struct kept_record {
    std::string payload;
    time_point appended;
  };
  struct reader {
    std::uint64_t number;
    std::uint64_t from;
    std::uint64_t max;
    respond_function respond;
  };
  struct stream {
    std::uint64_t first_offset{0};
    std::deque<kept_record> records{};
    std::list<reader> waiting{};

    [[nodiscard]] std::uint64_t end() const { return first_offset + records.size(); }
  };

  void Append(stream& to, const server_request& request, const respond_function& respond);
  void Read(const std::string& name, const server_request& request, respond_function respond);
  void GiveUp(const std::string& name, std::uint64_t number);
  void Expire(stream& from) const;
  void Count(time_point now);
  [[nodiscard]] server_reply Answer(stream& from, std::uint64_t offset, std::uint64_t max) const;

  boost::asio::io_context& io_;
  const fault_settings& fault_;
  std::map<std::string, stream> streams_;
  std::deque<time_point> recent_appends_;
  std::uint64_t next_reader_{0};
  std::uint64_t appends_{0};
  std::uint64_t records_{0};
  std::uint64_t bytes_{0};
  std::uint64_t most_in_a_second_{0};
};

}  // namespace rosearch::testbed

#endif  // ROSEARCH_TESTBED_LOG_STAND_IN_H_
