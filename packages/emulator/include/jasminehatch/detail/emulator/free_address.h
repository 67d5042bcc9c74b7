#ifndef JASMINEHATCH_DETAIL_EMULATOR_FREE_ADDRESS_H_
#define JASMINEHATCH_DETAIL_EMULATOR_FREE_ADDRESS_H_

#include <string>

namespace asio {
class io_context;
}

namespace jasminehatch::emulator {

/// @return `ip:port` that no TCP server uses now; see `LoopbackHost` for ports
/// that stay free
std::string FreeTcpAddress(asio::io_context& loop,
                           const std::string& ip = "127.0.0.1");

/// @return `ip:port` that no UDP socket uses now
std::string FreeUdpAddress(asio::io_context& loop,
                           const std::string& ip = "127.0.0.1");

}  // namespace jasminehatch::emulator

#endif  // JASMINEHATCH_DETAIL_EMULATOR_FREE_ADDRESS_H_
