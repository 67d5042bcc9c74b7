#include "forwarder_fixture.h"

#include <fcntl.h>
#include <unistd.h>

#include <utility>

// Must come last because it defines `new` as a macro.
#include "jasminehatch/detail/testing/leak_detector_off.h"

#include <CppUTest/TestHarness.h>

namespace jasminehatch::daemon::test {
namespace {

constexpr char kRoutes[] = R"(
{"name":"once","host":"h.example","pathPrefix":"/once/","kind":"non_idempotent",
"timeoutMs":3000,"sloMs":150,"priority":2,"service":"desk","attempts":2},
{"name":"again","host":"h.example","pathPrefix":"/again/","kind":"idempotent",
"timeoutMs":3000,"sloMs":150,"priority":2,"service":"desk","attempts":2},
{"name":"stream","host":"h.example","pathPrefix":"/stream/","kind":"streaming",
"timeoutMs":3000,"sloMs":300,"priority":1,"service":"desk","attempts":2,
"resumable":true,"targetGapMs":300})";

}  // namespace

std::string ForwarderConfiguration(int version, const std::string& key) {
  return R"({"version":)" + std::to_string(version) + R"(,"routes":[)" +
         kRoutes + R"(],"services":[{"name":"desk","maxConns":50}],)" +
         R"("tenants":[{"name":"t1","apiKeys":[")" + key + R"("]}]})";
}

ForwarderFixture::ForwarderFixture(std::chrono::milliseconds stop_grace)
    : m_log_descriptor(open("/dev/null", O_WRONLY | O_CLOEXEC)),
      m_platform(m_loop),
      m_client(m_loop, {}) {
  m_platform.Put("keyed.op", "config", ForwarderConfiguration(1, "key"));
  for (const char* id : {"u1", "u2"}) {
    m_upstreams.push_back(
        std::make_unique<emulator::UpstreamEmulator>(m_loop, id));
    Register(*m_upstreams.back(), false);
  }
  m_settings.zone = "a";
  m_settings.store_address = m_platform.Address();
  m_settings.stop_grace = stop_grace;
  m_settings.revoke_limit = std::chrono::milliseconds(2500);
  m_settings.lease_time = std::chrono::milliseconds(500);
  ReplaceDaemon("e1");
}

void ForwarderFixture::ReplaceDaemon(const std::string& name) {
  m_daemon.reset();
  m_settings.name = name;
  m_settings.address = m_host.NewTcpAddress(m_loop);
  m_settings.ready_address = m_host.NewTcpAddress(m_loop);
  m_settings.metrics_address = m_host.NewTcpAddress(m_loop);
  m_daemon = std::make_unique<Forwarder>(m_loop, m_settings, m_clock, 1,
                                         m_log_descriptor);
}

void ForwarderFixture::ReplaceDaemonByPeer(const std::string& name) {
  m_settings.peer_address = m_host.NewUdpAddress(m_loop);
  ReplaceDaemon(name);
}

void ForwarderFixture::AddPeer(const std::string& name) {
  m_peers.push_back(std::move(m_daemon));
  ReplaceDaemonByPeer(name);
}

ForwarderFixture::~ForwarderFixture() {
  m_daemon.reset();
  m_peers.clear();
  close(m_log_descriptor);
}

void ForwarderFixture::Register(const emulator::UpstreamEmulator& upstream,
                                bool draining) {
  m_platform.Put("keyed.servers", upstream.Id(),
                 upstream.Entry("desk", draining));
}

std::shared_ptr<CallerResponse> ForwarderFixture::Start(
    const std::string& path,
    const std::string& key,
    const std::string& deadline) {
  auto response = std::make_shared<CallerResponse>();
  net::StreamCall call;
  call.address = m_settings.address;
  call.method = "POST";
  call.target = path;
  call.body = "question";
  call.headers = {
      {"Host", "h.example"},
      {"X-Request-Id", "request-" + std::to_string(m_next_request_id++)},
      {"X-Deadline-Ms", deadline},
      {"Authorization", "Token " + key},
      {"X-Tenant", "forged"}};
  call.headers.insert(call.headers.end(), m_caller_headers.begin(),
                      m_caller_headers.end());
  m_call = m_client.Start(std::move(call), StoreIn(response));
  return response;
}

CallerResponse ForwarderFixture::Send(const std::string& path,
                                      const std::string& key,
                                      const std::string& deadline) {
  const auto response = Start(path, key, deadline);
  CHECK(RunUntil([&] { return response->ended; }));
  return *response;
}

void ForwarderFixture::SetBehaviour(
    const emulator::UpstreamEmulator::Behaviour& behaviour) {
  for (const auto& upstream : m_upstreams) {
    upstream->SetBehaviour(behaviour);
  }
}

void ForwarderFixture::UseOnly(const std::string& address) {
  for (const auto& upstream : m_upstreams) {
    // One that only left the registry would be used for some time.
    Register(*upstream, true);
  }
  m_platform.PutUpstream(
      "only",
      emulator::UpstreamEmulator(m_loop, "only").Entry("desk", false, address));
  CHECK(RunUntil([this] {
    const std::size_t run_count = RunCount();
    return Send("/again/small").head.status == 200 &&
           Send("/again/small").head.status == 200 && RunCount() == run_count;
  }));
}

std::size_t ForwarderFixture::RunCount() const {
  std::size_t run_count = 0;
  for (const auto& upstream : m_upstreams) {
    run_count += upstream->Ran().size();
  }
  return run_count;
}

}  // namespace jasminehatch::daemon::test
