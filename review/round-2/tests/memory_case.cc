// Many requests at once whose prompts have many parts, each within the limits.
// The platform kills a process that exceeds the memory of its machine.
// Usage: memory_case RECORD

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

constexpr int kMemoryMb = 110;
constexpr std::uint64_t kMemoryBytes = 1024ULL * 1024 * kMemoryMb;
constexpr std::size_t kAttackedDaemons = 2;
constexpr int kWaves = 3;
constexpr int kRequests = 500;
constexpr int kManyParts = 3900;  ///< Their header has 15.6 KB.
constexpr int kFewParts = 3;
constexpr std::size_t kBodyBytes = 20000;
constexpr int kWorkMs = 4000;

class MemoryCase {
 public:
  explicit MemoryCase(Record& record) : m_record(record) {}

  int Run();

 private:
  using Connections = std::vector<std::unique_ptr<Connection>>;

  Connections SendRequests(const Daemon& daemon);
  bool Watch(Daemon& daemon);
  void CountAnswers(const Connections& connections);

  Record& m_record;
  Store m_store;
  std::atomic<int> m_running{0};
  Workers m_workers{
      m_store, 12, "llm", kModelField,
      [this](Worker& worker, const Message& request, Connection& connection) {
        const std::string id = request.Header("X-Request-Id");
        ++m_running;
        m_record.Write("ran " + id + " at " + worker.id);
        Sleep(kWorkMs);
        const std::string event = "id: 1\ndata: x\n\n";
        return connection.Write(FormatResponse(
            "200 OK",
            "X-Request-Id: " + id + "\r\nX-Response-Signature: " + worker.id +
                "." + id +
                "\r\nContent-Type: text/event-stream\r\n"
                "X-Weight-Versions: 1\r\n",
            event));
      }};
  std::string m_parts;
  int m_next_request = 1;
};

MemoryCase::Connections MemoryCase::SendRequests(const Daemon& daemon) {
  Connections connections;
  for (int i = 0; i < kRequests; ++i) {
    connections.push_back(std::make_unique<Connection>(Connect(daemon.Port())));
    const std::string number = std::to_string(m_next_request++);
    m_record.Write("sent r" + number + " to " + daemon.Name());
    connections.back()->Write(
        "POST /digest/" + number +
        " HTTP/1.1\r\nHost: pule25.example\r\nX-Request-Id: r" + number +
        "\r\nX-Model: m0\r\nX-Token-Usage: 3900,10\r\nX-Prompt-Prefix: " +
        m_parts + ",c" + number + ":1" +
        "\r\nX-Deadline-Ms: 10000\r\nAuthorization: Token key-a\r\n"
        "Content-Length: " +
        std::to_string(kBodyBytes) + "\r\n\r\n" + std::string(kBodyBytes, 'a'));
  }
  return connections;
}

/// Does what the platform does: kills a process with too much memory.
/// @return whether it was killed
bool MemoryCase::Watch(Daemon& daemon) {
  std::uint64_t peak = 0;
  const Time until = Clock::now() + Milliseconds(kWorkMs);
  while (Clock::now() < until) {
    peak = std::max(peak, daemon.MemoryBytes());
    if (peak > kMemoryBytes) {
      m_record.Write(daemon.Name() + " has " + std::to_string(peak >> 20U) +
                     " MB, more than its machine; killed");
      daemon.Kill();
      return true;
    }
    Sleep(5);
  }
  m_record.Write(daemon.Name() + " had at most " + std::to_string(peak >> 20U) +
                 " MB");
  return false;
}

void MemoryCase::CountAnswers(const Connections& connections) {
  int answered = 0;
  int refused = 0;
  int lost = 0;
  const Time until = Clock::now() + Milliseconds(2 * kWorkMs);
  int number = m_next_request - static_cast<int>(connections.size());
  for (const auto& connection : connections) {
    Message message;
    const bool complete = connection->ReadMessage(message, until);
    m_record.Write("r" + std::to_string(number++) +
                   (complete ? " answered " + message.Word(1)
                             : std::string(" got no answer")));
    if (!complete) {
      ++lost;
    } else if (message.Status() == 200) {
      ++answered;
    } else {
      ++refused;
    }
  }
  m_record.Write("of " + std::to_string(connections.size()) + " requests " +
                 std::to_string(answered) + " were answered, " +
                 std::to_string(refused) + " refused, " + std::to_string(lost) +
                 " lost; " + std::to_string(m_running.exchange(0)) +
                 " had begun to run");
}

int MemoryCase::Run() {
  m_store.Put("keyed.op", "config",
              MakeConfiguration(1, kModelRoutes, R"(["key-a"])"));
  const int parts = HasTrouble() ? kManyParts : kFewParts;
  for (int i = 1; i < parts; ++i) {  // The last part is the request's own.
    m_parts += i == 1 ? "a:1" : ",a:1";
  }
  m_record.Write("each prompt has " + std::to_string(parts) + " parts");
  Fleet fleet(m_store.Address(), kMemoryMb);
  std::size_t machines = 0;
  for (std::size_t i = 0; i < kAttackedDaemons; ++i) {
    int ends = 0;
    for (int wave = 0; wave < kWaves; ++wave) {
      Daemon& daemon = fleet[i];
      m_record.Write("sent " + std::to_string(kRequests) + " requests to " +
                     daemon.Name());
      const Connections connections = SendRequests(daemon);
      const bool was_killed = Watch(daemon);
      CountAnswers(connections);
      if (was_killed) {
        ++ends;
        Sleep(300);
        daemon.Start();
        daemon.AwaitReady();
      }
    }
    m_record.Write(fleet[i].Name() + " ended " + std::to_string(ends) +
                   " times");
    machines += ends >= kWaves ? 1 : 0;
  }
  m_record.Write(std::to_string(machines) + " of " +
                 std::to_string(fleet.Size()) +
                 " machines whose process ended three times");
  return machines >= kAttackedDaemons ? 1 : 0;
}

}  // namespace

int main(int argc, char** argv) {
  return RunCase<MemoryCase>(argc, argv);
}
