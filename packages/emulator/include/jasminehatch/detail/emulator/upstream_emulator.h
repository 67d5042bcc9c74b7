#ifndef JASMINEHATCH_DETAIL_EMULATOR_UPSTREAM_EMULATOR_H_
#define JASMINEHATCH_DETAIL_EMULATOR_UPSTREAM_EMULATOR_H_

#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "jasminehatch/detail/http/http_message.h"

namespace asio {
class io_context;
}

namespace jasminehatch::net {
class HttpServer;
class ResponseWriter;
}  // namespace jasminehatch::net

namespace jasminehatch::emulator {

/// @brief Emulates an upstream on the users' platform: responds as its
/// behaviour says, rejects requests to another instance, and records the
/// requests that it ran.
class UpstreamEmulator {
 public:
  /// @brief How the upstream responds to a request.
  struct Response {
    enum class Kind { kRespond, kStream, kNotRun, kBreak, kHang };
    Kind kind = Kind::kRespond;
    int status = 200;
    std::string body = "done";
    std::vector<std::string> events;  ///< Complete events of a stream.
    bool truncated = false;  ///< The stream breaks off after its events.
    bool wrong_id = false;   ///< The response has the id of another request.
    bool without_signature = false;
    net::HttpHeaders headers;  ///< Sent in addition.
  };
  using Behaviour = std::function<Response(const net::HttpRequest& request)>;

  UpstreamEmulator(asio::io_context& loop, std::string id);
  ~UpstreamEmulator();
  UpstreamEmulator(const UpstreamEmulator&) = delete;
  UpstreamEmulator& operator=(const UpstreamEmulator&) = delete;

  void SetBehaviour(Behaviour behaviour) { m_behaviour = std::move(behaviour); }

  /// @return `ip:port` that it listens on
  std::string Address() const;

  /// @return the registry entry of the upstream
  /// @param address where the upstream is reached; empty for its own address
  std::string Entry(const std::string& service,
                    bool draining = false,
                    const std::string& address = {}) const;

  const std::string& Id() const { return m_id; }

  /// Requests that the upstream began to run.
  const std::vector<net::HttpRequest>& Ran() const { return m_ran; }

 private:
  void Handle(const net::HttpRequest& request,
              const std::shared_ptr<net::ResponseWriter>& writer);

  std::string m_id;
  Behaviour m_behaviour;
  std::unique_ptr<net::HttpServer> m_server;
  std::vector<net::HttpRequest> m_ran;
  std::vector<std::shared_ptr<net::ResponseWriter>> m_hanging;
};

}  // namespace jasminehatch::emulator

#endif  // JASMINEHATCH_DETAIL_EMULATOR_UPSTREAM_EMULATOR_H_
