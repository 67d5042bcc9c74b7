#include "jasminehatch/detail/rpc/json_rpc_server.h"

#include <json/json.h>
#include <jsonrpccpp/common/errors.h>
#include <jsonrpccpp/common/exception.h>
#include <jsonrpccpp/common/procedure.h>
#include <jsonrpccpp/server/abstractserverconnector.h>
#include <jsonrpccpp/server/iclientconnectionhandler.h>
#include <jsonrpccpp/server/iprocedureinvokationhandler.h>
#include <jsonrpccpp/server/requesthandlerfactory.h>

#include <exception>
#include <map>
#include <utility>

namespace jasminehatch::net {
namespace {

/// Keeps the response in a string instead of sending it.
class StringConnector final : public jsonrpc::AbstractServerConnector {
 public:
  bool StartListening() override { return true; }
  bool StopListening() override { return true; }
  bool SendResponse(const std::string& response, void* /*info*/) override {
    m_response = response;
    return true;
  }

  std::string TakeResponse() { return std::exchange(m_response, {}); }

 private:
  std::string m_response;
};

}  // namespace

class JsonRpcServer::Impl final : public jsonrpc::IProcedureInvokationHandler {
 public:
  Impl()
      : m_handler(jsonrpc::RequestHandlerFactory::createProtocolHandler(
            jsonrpc::JSONRPC_SERVER_V2,
            *this)) {
    m_writer["indentation"] = "";
    m_connector.SetHandler(m_handler.get());
  }

  void Add(const std::string& name, Method method) {
    m_handler->AddProcedure(jsonrpc::Procedure(name, jsonrpc::PARAMS_BY_NAME,
                                               jsonrpc::JSON_OBJECT, nullptr));
    m_methods[name] = std::move(method);
  }

  std::string Handle(const std::string& request) {
    m_connector.OnRequest(request);
    return m_connector.TakeResponse();
  }

  void HandleMethodCall(jsonrpc::Procedure& procedure,
                        const Json::Value& input,
                        Json::Value& output) override {
    try {
      const std::string result = m_methods.at(procedure.GetProcedureName())(
          Json::writeString(m_writer, input));
      const std::unique_ptr<Json::CharReader> reader(m_reader.newCharReader());
      std::string errors;
      if (!reader->parse(result.data(), result.data() + result.size(), &output,
                         &errors)) {
        throw jsonrpc::JsonRpcException(
            jsonrpc::Errors::ERROR_RPC_INTERNAL_ERROR, errors);
      }
    } catch (const jsonrpc::JsonRpcException&) {
      throw;
    } catch (const std::exception& error) {
      throw jsonrpc::JsonRpcException(jsonrpc::Errors::ERROR_RPC_INVALID_PARAMS,
                                      error.what());
    }
  }

  void HandleNotificationCall(jsonrpc::Procedure& /*procedure*/,
                              const Json::Value& /*input*/) override {}

 private:
  StringConnector m_connector;
  Json::StreamWriterBuilder m_writer;
  Json::CharReaderBuilder m_reader;
  std::map<std::string, Method> m_methods;
  std::unique_ptr<jsonrpc::IProtocolHandler> m_handler;
};

JsonRpcServer::JsonRpcServer() : m_impl(std::make_unique<Impl>()) {}

JsonRpcServer::~JsonRpcServer() = default;

void JsonRpcServer::Add(const std::string& name, Method method) {
  m_impl->Add(name, std::move(method));
}

std::string JsonRpcServer::Handle(const std::string& request) {
  return m_impl->Handle(request);
}

}  // namespace jasminehatch::net
