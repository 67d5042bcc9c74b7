// Callers that hold many connections with chunked bodies that stop just short
// of their end, while ordinary callers open new connections.
// Usage: crowd_case RECORD

#include <algorithm>
#include <atomic>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "daemons.h"
#include "net.h"
#include "store.h"
#include "workers.h"

namespace {

using namespace review;

constexpr int kContactMs = 3000;
constexpr int kCallers = 10;
constexpr int kCrowd = 2200;
constexpr int kCallerPauseMs = 200;

class CrowdCase {
 public:
  explicit CrowdCase(Record& record) : m_record(record) {}

  int Run();

 private:
  using Connections = std::vector<std::unique_ptr<Connection>>;

  void CallAgainAndAgain(const Daemon& daemon, int caller);
  static Connections OpenCrowd(const Daemon& daemon);

  Record& m_record;
  Store m_store;
  Workers m_workers{
      m_store, 3, "orders", "",
      [this](Worker& worker, const Message& request, Connection& connection) {
        const std::string id = request.Header("X-Request-Id");
        m_record.Write("ran " + id + " at " + worker.id);
        return connection.Write(FormatResponse(
            "200 OK",
            "X-Request-Id: " + id + "\r\nX-Response-Signature: " + worker.id +
                "." + id + "\r\n",
            "schedule\n"));
      }};
  std::atomic<bool> m_done{false};
  std::atomic<int> m_sent{0};
  std::atomic<int> m_answered{0};
};

/// Sends a request on a new connection several times a second.
void CrowdCase::CallAgainAndAgain(const Daemon& daemon, int caller) {
  for (int n = 0; !m_done; ++n) {
    const std::string id =
        "c" + std::to_string(caller) + "-" + std::to_string(n);
    ++m_sent;
    const Answer answer = Call(
        daemon.Port(),
        "GET /lookup/7 HTTP/1.1\r\nHost: pule25.example\r\nX-Request-Id: " +
            id + "\r\nX-Deadline-Ms: 1500\r\nAuthorization: Token key-a" +
            "\r\n\r\n",
        1500);
    m_answered += answer.status != 0 ? 1 : 0;
    m_record.Write("sent " + id + ", " +
                   (answer.status != 0
                        ? "answered " + std::to_string(answer.status)
                        : std::string("the connection was closed")));
    Sleep(kCallerPauseMs);
  }
}

/// Opens connections with a request that lacks its last chunk.
CrowdCase::Connections CrowdCase::OpenCrowd(const Daemon& daemon) {
  std::string request =
      "POST /lookup/7 HTTP/1.1\r\nHost: pule25.example\r\nX-Request-Id: crowd"
      "\r\nX-Deadline-Ms: 1500\r\nAuthorization: Token key-a\r\n"
      "Transfer-Encoding: chunked\r\n\r\n";
  for (int i = 0; i < 200; ++i) {
    request += "4\r\nabcd\r\n";
  }
  Connections crowd;
  for (int i = 0; i < kCrowd; ++i) {
    crowd.push_back(std::make_unique<Connection>(Connect(daemon.Port())));
    crowd.back()->Write(request);
  }
  return crowd;
}

int CrowdCase::Run() {
  m_store.Put("keyed.op", "config",
              MakeConfiguration(1, kPlainRoutes, R"(["key-a"])"));
  Fleet fleet(m_store.Address());
  Daemon& daemon = fleet[0];
  std::vector<std::thread> callers;
  callers.reserve(kCallers);
  for (int i = 0; i < kCallers; ++i) {
    callers.emplace_back([&, i] { CallAgainAndAgain(daemon, i); });
  }
  Sleep(2 * kContactMs);
  m_record.Write("before the crowd: " + std::to_string(m_answered) + " of " +
                 std::to_string(m_sent) + " answered");
  const bool works = m_answered > 0;
  Connections crowd;
  if (HasTrouble()) {
    crowd = OpenCrowd(daemon);
    m_record.Write("the crowd has opened " + std::to_string(kCrowd) +
                   " connections");
  }
  Sleep(1000);
  // Spans in which the daemon was ready and took no new connection.
  Time untaken_since = Clock::now();
  Milliseconds longest{0};
  int answered_before = m_answered;
  const Time until = Clock::now() + std::chrono::seconds(12);
  while (Clock::now() < until) {
    Sleep(100);
    const int answered = m_answered;
    if (answered != answered_before || !daemon.IsReady()) {
      untaken_since = Clock::now();
      answered_before = answered;
    }
    longest = std::max(longest, std::chrono::duration_cast<Milliseconds>(
                                    Clock::now() - untaken_since));
  }
  m_done = true;
  for (std::thread& caller : callers) {
    caller.join();
  }
  m_record.Write(
      "longest time for which the daemon was ready and took no new "
      "connection while " +
      std::to_string(kCallers) +
      " clients tried: " + std::to_string(longest.count()) + " ms");
  if (!works || daemon.HasEnded()) {
    return 2;
  }
  return longest.count() > kContactMs ? 1 : 0;
}

}  // namespace

int main(int argc, char** argv) {
  return RunCase<CrowdCase>(argc, argv);
}
