#ifndef ROSEARCH_PLATFORM_ADDRESS_H_
#define ROSEARCH_PLATFORM_ADDRESS_H_

#include <boost/asio/ip/tcp.hpp>
#include <optional>
#include <string_view>

namespace rosearch {

/// @param address  host:port, the host as an IP number.
/// @return the endpoint that it names; nothing where it names none.
[[nodiscard]] std::optional<boost::asio::ip::tcp::endpoint> ParseAddress(std::string_view address);

}  // namespace rosearch

#endif  // ROSEARCH_PLATFORM_ADDRESS_H_
