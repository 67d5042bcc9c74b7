#ifndef JASMINEHATCH_TESTS_CALLER_MEMORY_CALLER_CROWD_H_
#define JASMINEHATCH_TESTS_CALLER_MEMORY_CALLER_CROWD_H_

#include <asio/ip/tcp.hpp>
#include <cstddef>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace asio {
class io_context;
}

namespace jasminehatch::test {

/// @brief What each client of a crowd sends on its connection.
struct CrowdKind {
  std::string_view name;
  std::string_view framing;  ///< Header that frames the body.
  std::string piece;         ///< Written again and again after the head.
  /// Bytes of pieces after which the client stops and keeps the connection
  /// open; 0 to write until the connection is closed.
  std::size_t total_bytes = 0;
};

/// @return the kinds of misbehaving clients, for a body limit of 4 MiB
std::vector<CrowdKind> CrowdKinds();

/// @brief Misbehaving clients of one address, which never end their requests.
class CallerCrowd {
 public:
  /// Connects the clients; the kinds are assigned in turn.
  /// @param target of the requests
  /// @param kinds must outlive the crowd
  CallerCrowd(asio::io_context& loop,
              const std::string& address,
              std::string_view target,
              std::span<const CrowdKind> kinds,
              std::size_t clients);
  ~CallerCrowd();
  CallerCrowd(const CallerCrowd&) = delete;
  CallerCrowd& operator=(const CallerCrowd&) = delete;

  /// @return whether each client has sent all that it sends, or its connection
  /// was closed
  bool IsSettled() const;

  /// @return how many connections were closed by the server
  std::size_t Closed() const;

 private:
  class Client;
  std::vector<std::shared_ptr<Client>> m_clients;
};

}  // namespace jasminehatch::test

#endif  // JASMINEHATCH_TESTS_CALLER_MEMORY_CALLER_CROWD_H_
