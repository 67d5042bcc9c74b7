#ifndef JASMINEHATCH_NET_TESTS_BOTH_CLIENTS_H_
#define JASMINEHATCH_NET_TESTS_BOTH_CLIENTS_H_

#include <jasminehatch/net.h>

#include <asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace jasminehatch::net::test {

/// @brief What a client reports for a call.
struct Outcome {
  bool complete = false;
  bool sent = true;
  bool head_received = false;
  int status = 0;
  std::string body;
};

/// @brief One of the two clients; each call is a POST of the same path.
class Client {
 public:
  using EndCallback = std::function<void(Outcome)>;

  virtual ~Client() = default;
  virtual void Start(const std::string& address,
                     std::string body,
                     EndCallback on_end) = 0;
};

/// @brief HttpClient.
class CurlClient : public Client {
 public:
  /// @param streamed whether body bytes are received as they arrive
  CurlClient(asio::io_context& loop, bool streamed)
      : m_client(loop), m_streamed(streamed) {}

  void Start(const std::string& address,
             std::string body,
             EndCallback on_end) override;

 private:
  HttpClient m_client;
  bool m_streamed;
};

/// @brief StreamClient.
class AsioClient : public Client {
 public:
  explicit AsioClient(asio::io_context& loop) : m_client(loop, {}) {}

  void Start(const std::string& address,
             std::string body,
             EndCallback on_end) override;

 private:
  StreamClient m_client;
};

/// @return StreamClient, and HttpClient with and without a data callback
std::vector<std::unique_ptr<Client>> MakeClients(asio::io_context& loop);

/// Makes a call and runs the loop until it ends.
Outcome Call(asio::io_context& loop,
             Client& client,
             const std::string& address,
             std::string body = "b");

}  // namespace jasminehatch::net::test

#endif  // JASMINEHATCH_NET_TESTS_BOTH_CLIENTS_H_
