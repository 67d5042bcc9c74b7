#include "jasminehatch/detail/http/ip_port.h"

#include <asio/ip/address.hpp>
#include <charconv>

namespace jasminehatch::net {
namespace {

/// The parser of Asio ignores what follows a zero byte, and accepts any text as
/// the scope of an IPv6 address.
bool HasOnlyAddressCharacters(std::string_view ip) {
  return ip.find_first_not_of("0123456789abcdefABCDEF.:") ==
         std::string_view::npos;
}

}  // namespace

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
  if (error || !HasOnlyAddressCharacters(parsed.ip) || port.ec != std::errc() ||
      port.ptr != end) {
    return std::nullopt;
  }
  return parsed;
}

}  // namespace jasminehatch::net
