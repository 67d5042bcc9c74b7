#ifndef JASMINEHATCH_DETAIL_EMULATOR_PLATFORM_WIRE_H_
#define JASMINEHATCH_DETAIL_EMULATOR_PLATFORM_WIRE_H_

#include <chrono>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>

#include "jasminehatch/detail/http/http_message.h"

namespace jasminehatch::emulator {

/// @brief A route in the text of `PlatformConfiguration`.
struct PlatformRoute {
  std::string name;  ///< Its path prefix is `/NAME/`.
  std::string kind;  ///< Value of the route's field `kind`.
  int attempts = 1;
  bool resumable = false;
};

/// @brief A workspace in the text of `PlatformConfiguration`, with its one key.
struct PlatformWorkspace {
  std::string name;
  std::string key;
};

/// @brief Headers of a request that an upstream evaluates.
struct ForwardedHeaders {
  std::string request;
  std::string workspace;
  /// Must be empty: the caller's key is not passed on.
  std::string authorization;
  std::string last_event_id;  ///< Event after which a stream resumes, or empty.
};

/// Host of all routes of `PlatformConfiguration`.
inline constexpr char kPlatformHost[] = "h.example";

/// @return the text of a configuration whose routes lead to one service
std::string PlatformConfiguration(
    std::uint64_t version,
    const std::string& service,
    std::span<const PlatformRoute> routes,
    std::span<const PlatformWorkspace> workspaces);

/// @return the headers that a caller sends
net::HttpHeaders CallerHeaders(const std::string& request,
                               const std::string& key,
                               std::chrono::milliseconds deadline);

ForwardedHeaders ParseForwardedHeaders(const net::HttpHeaders& headers);

/// @return the header lines of an upstream's response to a request, given as
/// text; the response is a stream of events
std::string ResponseHeaderLines(std::string_view request,
                                const std::string& upstream);

/// @return the signature of the upstream in a response; empty without one
std::string SignatureOf(const net::HttpHeaders& headers);

}  // namespace jasminehatch::emulator

#endif  // JASMINEHATCH_DETAIL_EMULATOR_PLATFORM_WIRE_H_
