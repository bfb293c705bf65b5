#ifndef ROSEARCH_NET_GROWING_BODY_H_
#define ROSEARCH_NET_GROWING_BODY_H_

#include <boost/beast/core/buffers_range.hpp>
#include <boost/beast/core/error.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/optional/optional.hpp>
#include <cstddef>
#include <cstdint>
#include <string>

namespace rosearch {

/// A body in a string that grows with what arrives. That of Beast reserves what is announced, so
/// that a head alone would cost the largest body.
struct growing_body {
  using value_type = std::string;

  static std::uint64_t size(const value_type& body) { return body.size(); }

  class reader {
   public:
    template <bool kIsRequest, typename Fields>
    reader(boost::beast::http::header<kIsRequest, Fields>&, value_type& body) : body_{body} {}

    static void init(const boost::optional<std::uint64_t>&, boost::beast::error_code& failed) {
      failed = {};
    }

    template <typename Buffers>
    std::size_t put(const Buffers& buffers, boost::beast::error_code& failed) {
      std::size_t count = 0;
      for (const auto each : boost::beast::buffers_range_ref(buffers)) {
        body_.append(static_cast<const char*>(each.data()), each.size());
        count += each.size();
      }
      failed = {};
      return count;
    }

    static void finish(boost::beast::error_code& failed) { failed = {}; }

   private:
    value_type& body_;
  };
};

}  // namespace rosearch

#endif  // ROSEARCH_NET_GROWING_BODY_H_
