#include "require_ip_port.h"

#include "jasminehatch/detail/base/exception.h"

namespace jasminehatch::daemon {

net::IpPort RequireIpPort(const std::string& text) {
  const auto parsed = net::ParseIpPort(text);
  if (!parsed) {
    throw SettingsError(104,
                        "'" + text + "' is not an address; expected ip:port");
  }
  return *parsed;
}

}  // namespace jasminehatch::daemon
