#ifndef JASMINEHATCH_DETAIL_EMULATOR_FREE_ADDRESS_H_
#define JASMINEHATCH_DETAIL_EMULATOR_FREE_ADDRESS_H_

#include <string>

namespace asio {
class io_context;
}

namespace jasminehatch::emulator {

/// @return `ip:port` on the loopback interface that no TCP server uses now
std::string FreeTcpAddress(asio::io_context& loop);

/// @return `ip:port` on the loopback interface that no UDP socket uses now
std::string FreeUdpAddress(asio::io_context& loop);

}  // namespace jasminehatch::emulator

#endif  // JASMINEHATCH_DETAIL_EMULATOR_FREE_ADDRESS_H_
