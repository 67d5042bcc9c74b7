#ifndef JASMINEHATCH_TESTS_CALLER_MEMORY_TESTED_DAEMON_H_
#define JASMINEHATCH_TESTS_CALLER_MEMORY_TESTED_DAEMON_H_

#include <jasminehatch/net.h>

#include <memory>
#include <string>
#include <string_view>

#include "jasminehatch/detail/testing/process.h"

namespace asio {
class io_context;
}

namespace jasminehatch::test {

/// @brief A daemon as a process, with the stand-ins that it needs.
class TestedDaemon {
 public:
  virtual ~TestedDaemon() = default;

  virtual std::string Address() const = 0;
  /// @return a request that is answered with 200 once the daemon is ready
  virtual net::StreamCall ReadyCall() const = 0;
  /// @return an ordinary request with this body
  virtual net::StreamCall OrdinaryCall(std::string body) const = 0;
  /// @return the target of the requests that misbehaving clients send
  virtual std::string_view CrowdTarget() const = 0;
  virtual testing::Process& Process() = 0;
};

/// @param folder for settings and logs
/// @param memory line of the setting `memory`; may be empty
std::unique_ptr<TestedDaemon> StartForwarder(asio::io_context& loop,
                                             const std::string& bin_dir,
                                             const std::string& folder,
                                             const std::string& memory);
std::unique_ptr<TestedDaemon> StartGateway(asio::io_context& loop,
                                           const std::string& bin_dir,
                                           const std::string& folder,
                                           const std::string& memory);

}  // namespace jasminehatch::test

#endif  // JASMINEHATCH_TESTS_CALLER_MEMORY_TESTED_DAEMON_H_
