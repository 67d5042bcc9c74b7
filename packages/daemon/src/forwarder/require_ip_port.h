#ifndef JASMINEHATCH_FORWARDER_REQUIRE_IP_PORT_H_
#define JASMINEHATCH_FORWARDER_REQUIRE_IP_PORT_H_

#include <string>

#include "jasminehatch/detail/http/ip_port.h"

namespace jasminehatch::daemon {

/// @param text an address of the settings, as `ip:port`
/// @throw SettingsError 104 when it is not an address
net::IpPort RequireIpPort(const std::string& text);

}  // namespace jasminehatch::daemon

#endif  // JASMINEHATCH_FORWARDER_REQUIRE_IP_PORT_H_
