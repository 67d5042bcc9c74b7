#include "jasminehatch/detail/emulator/vm_list_emulator.h"

#include <asio/io_context.hpp>
#include <nlohmann/json.hpp>

#include "jasminehatch/detail/http/response_writer.h"
#include "json_response.h"

namespace jasminehatch::emulator {
namespace {

using nlohmann::json;

}  // namespace

VmListEmulator::VmListEmulator(asio::io_context& loop,
                               const net::HttpServer::Options& options)
    : m_server(loop,
               options,
               [this](const net::HttpRequest& request,
                      const std::shared_ptr<net::ResponseWriter>& writer) {
                 OnRequest(request, writer);
               }) {}

VmListEmulator::~VmListEmulator() = default;

void VmListEmulator::Set(const std::string& name,
                         const std::string& url,
                         const std::string& state) {
  if (state == "live" || state == "leaving") {
    m_vms[name] = {url, state};
  } else {
    m_vms.erase(name);
  }
}

void VmListEmulator::OnRequest(
    const net::HttpRequest& request,
    const std::shared_ptr<net::ResponseWriter>& writer) {
  if (request.path == "/v1/vms") {
    json vms = json::array();
    for (const auto& [name, vm] : m_vms) {
      vms.push_back({{"name", name}, {"url", vm.url}, {"state", vm.state}});
    }
    writer->Send(200, kJsonHeaders, json{{"vms", std::move(vms)}}.dump());
    return;
  }
  const json document = json::parse(request.body, nullptr, false);
  if (request.path != "/admin/vms" || !document.is_object()) {
    writer->Send(404, kJsonHeaders, R"({"error":"unknown path or body"})");
    return;
  }
  Set(document.value("name", ""), document.value("url", ""),
      document.value("state", ""));
  writer->Send(200, kJsonHeaders, "{}");
}

}  // namespace jasminehatch::emulator
