#include "tested_daemon.h"

#include <jasminehatch/codec.h>
#include <jasminehatch/emulator.h>

#include <asio/io_context.hpp>
#include <fstream>
#include <stdexcept>
#include <utility>
#include <vector>

namespace jasminehatch::test {
namespace {

constexpr std::string_view kGatewayKey = "gateway-key";

net::StreamCall MakeCall(std::string address,
                         std::string method,
                         std::string target) {
  net::StreamCall call;
  call.address = std::move(address);
  call.method = std::move(method);
  call.target = std::move(target);
  call.fresh_connection = true;
  call.headers = {
      {"Host", "h.example"}, {"X-Request-Id", "r"}, {"X-Deadline-Ms", "20000"}};
  return call;
}

class TestedForwarder : public TestedDaemon {
 public:
  TestedForwarder(asio::io_context& loop,
                  const std::string& bin_dir,
                  const std::string& folder,
                  const std::string& memory)
      : m_platform(loop),
        m_upstream(loop, "u1"),
        m_address(m_host.NewTcpAddress(loop)),
        m_ready_address(m_host.NewTcpAddress(loop)) {
    m_platform.PutConfiguration(emulator::OneRouteConfiguration("key"));
    m_platform.PutUpstream("u1", m_upstream.Entry("desk"));
    const std::string file = folder + "/forwarder.ini";
    std::ofstream(file) << "[forwarder]\nname = e1\nzone = a\naddress = "
                        << m_address << "\nready_address = " << m_ready_address
                        << "\nstore_address = " << m_platform.Address() << '\n'
                        << memory;
    m_process = testing::Process::Start(
        {bin_dir + "/jasminehatchd", "--settings", file},
        folder + "/daemon.log");
  }

  std::string Address() const override { return m_address; }
  net::StreamCall ReadyCall() const override {
    return MakeCall(m_ready_address, "GET", "/");
  }
  net::StreamCall OrdinaryCall(std::string body) const override {
    auto call = MakeCall(m_address, "POST", "/once/x");
    call.body = std::move(body);
    call.headers.push_back({"Authorization", "Token key"});
    return call;
  }
  std::string_view CrowdTarget() const override { return "/once/crowd"; }
  testing::Process& Process() override { return *m_process; }

 private:
  emulator::LoopbackHost m_host;
  emulator::PlatformEmulator m_platform;
  emulator::UpstreamEmulator m_upstream;
  std::string m_address;
  std::string m_ready_address;
  std::unique_ptr<testing::Process> m_process;
};

class TestedGateway : public TestedDaemon {
 public:
  TestedGateway(asio::io_context& loop,
                const std::string& bin_dir,
                const std::string& folder,
                const std::string& memory)
      : m_log(loop, {}, 1), m_engine(loop, EngineOptions()) {
    const std::string log_url = Url(m_log.Port());
    PublishConfiguration(loop, log_url);
    const std::string file = folder + "/gateway.ini";
    std::ofstream(file) << "[daemon]\nname = e1\nzone = zone-a\nport = 0\n"
                        << memory << "[platform]\nlog_url = " << log_url
                        << '\n';
    m_process = std::make_unique<testing::Process>(
        std::vector<std::string>{bin_dir + "/jasminehatchd", "--settings",
                                 file},
        folder + "/daemon.log");
  }

  std::string Address() const override {
    return "127.0.0.1:" + std::to_string(m_process->Port());
  }
  net::StreamCall ReadyCall() const override { return OrdinaryCall("hello"); }
  net::StreamCall OrdinaryCall(std::string body) const override {
    auto call = MakeCall(Address(), "POST", "/v1/chat/completions");
    // In a field of its own, as the time for a prompt of this size would exceed
    // the deadline.
    call.body = R"({"model":"assistant","max_tokens":1,"messages":[{"role":)"
                R"("user","content":"hello"}],"x":")" +
                body + "\"}";
    call.headers.push_back(
        {"Authorization", "Bearer " + std::string(kGatewayKey)});
    return call;
  }
  std::string_view CrowdTarget() const override {
    return "/v1/chat/completions";
  }
  testing::Process& Process() override { return *m_process; }

 private:
  static emulator::EngineEmulator::Options EngineOptions() {
    emulator::EngineEmulator::Options options;
    options.prefill_tokens_per_second = 1e9;
    options.incarnation = 1;
    return options;
  }
  static std::string Url(std::uint16_t port) {
    return "http://127.0.0.1:" + std::to_string(port);
  }

  void PublishConfiguration(asio::io_context& loop,
                            const std::string& log_url) {
    config::ConfigChange change;
    change.change_id = "caller-memory";
    change.author = "test";
    change.updates.push_back(
        {{"workspace", "fountain"},
         config::Fields{{"key_sha256", codec::Sha256Hex(kGatewayKey)},
                        {"models", "assistant@v1"}}});
    change.updates.push_back({{"upstream", "engine"},
                              config::Fields{{"zone", "zone-a"},
                                             {"url", Url(m_engine.Port())},
                                             {"model", "assistant"},
                                             {"weight_version", "v1"}}});
    net::HttpClient client(loop);
    net::HttpCall call;
    call.method = "POST";
    call.url = log_url + "/v1/streams/config/records";
    call.body = codec::EncodeConfigChange(change);
    int status = 0;
    bool ended = false;
    client.Start(std::move(call), [&](const net::HttpResult& result) {
      status = result.status;
      ended = true;
    });
    while (!ended) {
      loop.restart();
      loop.run_for(std::chrono::milliseconds(5));
    }
    if (status / 100 != 2) {
      throw std::runtime_error("cannot publish the configuration");
    }
  }

  emulator::LogEmulator m_log;
  emulator::EngineEmulator m_engine;
  std::unique_ptr<testing::Process> m_process;
};

}  // namespace

std::unique_ptr<TestedDaemon> StartForwarder(asio::io_context& loop,
                                             const std::string& bin_dir,
                                             const std::string& folder,
                                             const std::string& memory) {
  return std::make_unique<TestedForwarder>(loop, bin_dir, folder, memory);
}

std::unique_ptr<TestedDaemon> StartGateway(asio::io_context& loop,
                                           const std::string& bin_dir,
                                           const std::string& folder,
                                           const std::string& memory) {
  return std::make_unique<TestedGateway>(loop, bin_dir, folder, memory);
}

}  // namespace jasminehatch::test
