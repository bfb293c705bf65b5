#include "rosearch/platform/address.h"

#include <charconv>
#include <cstdint>
#include <string>

namespace rosearch {

using boost::asio::ip::tcp;

std::optional<tcp::endpoint> ParseAddress(std::string_view address) {
  const auto colon = address.rfind(':');
  if (colon == std::string_view::npos) {
    return std::nullopt;
  }
  auto host = address.substr(0, colon);
  if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
    host = host.substr(1, host.size() - 2);
  }
  const auto port_text = address.substr(colon + 1);
  std::uint16_t port = 0;
  const auto parsed = std::from_chars(port_text.data(), port_text.data() + port_text.size(), port);
  boost::system::error_code failed;
  const auto ip = boost::asio::ip::make_address(std::string{host}, failed);
  if (failed || parsed.ec != std::errc{} || parsed.ptr != port_text.data() + port_text.size()) {
    return std::nullopt;
  }
  return tcp::endpoint{ip, port};
}

}  // namespace rosearch
