#ifndef JASMINEHATCH_DETAIL_EMULATOR_LOOPBACK_HOST_H_
#define JASMINEHATCH_DETAIL_EMULATOR_LOOPBACK_HOST_H_

#include <set>
#include <string>

namespace asio {
class io_context;
}

namespace jasminehatch::emulator {

/// @brief An address on the loopback interface that only this process uses, so
/// that a port stays free for the programs that it starts even while none of
/// them listens on it.
///
/// On an address that processes share, the kernel gives such a port to the next
/// socket of any process that asks for a free one.
class LoopbackHost {
 public:
  LoopbackHost();

  /// @return an IP address that is derived from the id of this process
  const std::string& Ip() const { return m_ip; }

  /// @return `ip:port` with a port that this object has not returned before
  std::string NewTcpAddress(asio::io_context& loop);
  std::string NewUdpAddress(asio::io_context& loop);

 private:
  std::string m_ip;
  std::set<std::string> m_used;
};

}  // namespace jasminehatch::emulator

#endif  // JASMINEHATCH_DETAIL_EMULATOR_LOOPBACK_HOST_H_
