#include "jasminehatch/detail/daemon/vm_list_poller.h"

#include <asio/io_context.hpp>
#include <utility>

#include "jasminehatch/detail/base/exception.h"
#include "jasminehatch/detail/daemon/event_sink.h"
#include "jasminehatch/detail/http/http_client.h"
#include "jasminehatch/detail/json/peer_message.h"
#include "jasminehatch/telemetry.h"

namespace jasminehatch::daemon {
namespace {

constexpr std::chrono::milliseconds kPollTimeout{2000};

}  // namespace

VmListPoller::VmListPoller(asio::io_context& loop,
                           EventSink& sink,
                           net::HttpClient& client,
                           std::string url,
                           std::chrono::milliseconds interval)
    : m_sink(sink),
      m_client(client),
      m_url(std::move(url)),
      m_interval(interval),
      m_timer(loop) {}

void VmListPoller::Start() {
  if (!m_url.empty()) {
    Poll();
  }
}

void VmListPoller::Poll() {
  net::HttpCall call;
  call.url = m_url;
  call.total_timeout = kPollTimeout;
  m_client.Start(std::move(call), [this](const net::HttpResult& result) {
    OnResponse(result);
    m_timer.expires_after(m_interval);
    m_timer.async_wait([this](const asio::error_code& error) {
      if (!error) {
        Poll();
      }
    });
  });
}

void VmListPoller::OnResponse(const net::HttpResult& result) {
  if (result.kind != net::HttpResult::Kind::kComplete || result.status != 200) {
    // Polling continues. The list is delayed anyway, and upstreams and
    // operators announce leaving VMs as well.
    return;
  }
  try {
    VmsLeaving event;
    for (codec::ListedVm& vm : codec::ParseVmList(result.body)) {
      if (vm.leaving) {
        event.vms.push_back({std::move(vm.name), std::move(vm.url)});
      }
    }
    if (!event.vms.empty()) {
      m_sink.Post(std::move(event));
    }
  } catch (const CodecError& error) {
    telemetry::LogWarning("vm_list_invalid", {{"detail", error.what()}});
  }
}

}  // namespace jasminehatch::daemon
