#ifndef JASMINEHATCH_DETAIL_EMULATOR_VM_LIST_EMULATOR_H_
#define JASMINEHATCH_DETAIL_EMULATOR_VM_LIST_EMULATOR_H_

#include <cstdint>
#include <map>
#include <memory>
#include <string>

#include "jasminehatch/detail/http/http_server.h"

namespace jasminehatch::emulator {

/// @brief Emulates the platform's VM list: `GET /v1/vms`.
///
/// `POST /admin/vms` with `{"name","url","state"}` adds or changes a VM; the
/// state is `live` or `leaving`, and any other state removes the VM.
class VmListEmulator {
 public:
  VmListEmulator(asio::io_context& loop,
                 const net::HttpServer::Options& options);
  ~VmListEmulator();

  std::uint16_t Port() const { return m_server.Port(); }

  void Set(const std::string& name,
           const std::string& url,
           const std::string& state);

 private:
  struct Vm {
    std::string url;
    std::string state;
  };

  void OnRequest(const net::HttpRequest& request,
                 const std::shared_ptr<net::ResponseWriter>& writer);

  std::map<std::string, Vm> m_vms;
  net::HttpServer m_server;
};

}  // namespace jasminehatch::emulator

#endif  // JASMINEHATCH_DETAIL_EMULATOR_VM_LIST_EMULATOR_H_
