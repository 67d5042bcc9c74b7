#ifndef JASMINEHATCH_DETAIL_RPC_JSON_RPC_SERVER_H_
#define JASMINEHATCH_DETAIL_RPC_JSON_RPC_SERVER_H_

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace jasminehatch::net {

/// @brief JSON-RPC 2.0 server without a transport, based on libjsonrpccpp; an
/// HTTP handler passes requests to `Handle`.
///
/// Outgoing calls are made with HttpClient: the library's client is
/// synchronous, and its headers use dynamic exception specifications, which
/// C++20 does not have.
class JsonRpcServer {
 public:
  /// Takes the parameters as a JSON object and returns the result as JSON. An
  /// exception becomes a JSON-RPC error with its message.
  using Method = std::function<std::string(std::string_view params)>;

  JsonRpcServer();
  ~JsonRpcServer();
  JsonRpcServer(const JsonRpcServer&) = delete;
  JsonRpcServer& operator=(const JsonRpcServer&) = delete;

  /// Adds a method with named parameters; the method checks their types.
  void Add(const std::string& name, Method method);

  /// @return the response to a request
  std::string Handle(const std::string& request);

 private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace jasminehatch::net

#endif  // JASMINEHATCH_DETAIL_RPC_JSON_RPC_SERVER_H_
