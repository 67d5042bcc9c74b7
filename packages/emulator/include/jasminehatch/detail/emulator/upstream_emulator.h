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

/// @brief Stand-in of an upstream on the users' platform: answers what its
/// behaviour says, checks the addressee, and counts what it ran.
class UpstreamEmulator {
 public:
  /// @brief What a request leads to.
  struct Response {
    enum class Kind { kRespond, kStream, kNotRun, kBreak, kHang };
    Kind kind = Kind::kRespond;
    int status = 200;
    std::string body = "done";
    std::vector<std::string> events;  ///< Of a stream, whole ones.
    bool truncated = false;           ///< The stream ends without its end.
    bool wrong_id = false;            ///< It answers another request.
    bool without_signature = false;
  };
  using Behaviour = std::function<Response(const net::HttpRequest& request)>;

  UpstreamEmulator(asio::io_context& loop, std::string id);
  ~UpstreamEmulator();
  UpstreamEmulator(const UpstreamEmulator&) = delete;
  UpstreamEmulator& operator=(const UpstreamEmulator&) = delete;

  void SetBehaviour(Behaviour behaviour) { m_behaviour = std::move(behaviour); }

  /// @return `ip:port` that it listens on
  std::string Address() const;

  /// @return its entry of the registry
  /// @param address where it is reached; empty for its own
  std::string Entry(const std::string& service,
                    bool draining = false,
                    const std::string& address = {}) const;

  const std::string& Id() const { return m_id; }

  /// Requests that it began to run.
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
