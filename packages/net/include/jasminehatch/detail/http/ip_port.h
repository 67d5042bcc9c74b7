#ifndef JASMINEHATCH_DETAIL_HTTP_IP_PORT_H_
#define JASMINEHATCH_DETAIL_HTTP_IP_PORT_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace jasminehatch::net {

/// @brief An IP address and a port.
struct IpPort {
  std::string ip;
  std::uint16_t port = 0;
};

/// @return the parts of `ip:port`; nothing when the text is not of that form
std::optional<IpPort> ParseIpPort(std::string_view text);

}  // namespace jasminehatch::net

#endif  // JASMINEHATCH_DETAIL_HTTP_IP_PORT_H_
