#include "jasminehatch/detail/http/ip_port.h"

#include <asio/ip/address.hpp>
#include <charconv>

namespace jasminehatch::net {

std::optional<IpPort> ParseIpPort(std::string_view text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) {
    return std::nullopt;
  }
  IpPort parsed;
  parsed.ip = std::string(text.substr(0, colon));
  const char* end = text.data() + text.size();
  const auto port = std::from_chars(text.data() + colon + 1, end, parsed.port);
  asio::error_code error;
  asio::ip::make_address(parsed.ip, error);
  if (error || port.ec != std::errc() || port.ptr != end) {
    return std::nullopt;
  }
  return parsed;
}

}  // namespace jasminehatch::net
