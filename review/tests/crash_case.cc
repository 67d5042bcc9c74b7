// A request that crashes each worker that runs it comes again and again, as
// `crash` in its body. With trouble, two of six daemons are killed and started
// again, one after the other, after the third crash. Checks that the request
// reaches workers in at most three retries later than `contactMs` after it, and
// counts the sound requests that are lost at the workers that crash.

#include <array>
#include <future>
#include <iostream>

#include "daemons.h"
#include "workers.h"

namespace {

using namespace jasminehatch::review;
using std::chrono::seconds;

constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kNotRun = 2;

constexpr milliseconds kContact{3000};
constexpr milliseconds kRestartDelay{500};
constexpr milliseconds kInterval{1000};
constexpr int kWorkers = 6;
constexpr int kAllowedRetries = 3;
const char* const kCrashBody = "crash: order 4711";

std::string Configuration() {
  return R"({"version":1,"routes":[{"name":"r1","host":"a.example",
"pathPrefix":"/orders/","kind":"non_idempotent","timeoutMs":1500,"sloMs":150,
"priority":2,"service":"orders-app","attempts":1,"public":false,
"sticky":false,"resumable":false}],
"services":[{"name":"orders-app","healthPath":"/healthz","maxConns":96,
"protocol":"h1","tls":false}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,
"headerTimeoutMs":3000,"idleTimeoutMs":15000},
"tenants":[{"name":"t1","apiKeys":["key-of-t1"],"priority":1}]})";
}

/// @brief The system under test with its stand-ins.
class Deployment {
 public:
  explicit Deployment(Record& record)
      : m_record(record), m_store(m_prefix + "1", seconds(300)) {
    m_store.Put("keyed.op", "config", Configuration());
    const std::array<std::string, 3> zones{"levis", "rimouski", "saguenay"};
    for (int i = 0; i < kWorkers; ++i) {
      m_workers.push_back(std::make_unique<Worker>(
          m_prefix + "2", zones.at(i % 3), WorkerKind{"orders-app", "", 6},
          m_store, m_seen, m_record));
    }
    for (int i = 0; i < 6; ++i) {
      m_daemons.push_back(std::make_unique<Daemon>(
          "edge-" + zones.at(i / 2) + "-" + std::to_string(i % 2 + 1),
          m_prefix + std::to_string(10 + i), zones.at(i / 2), m_store.Address(),
          m_folder.Path(), m_record));
      m_daemons.back()->Start();
    }
  }

  bool WaitReady() const { return WaitUntilReady(m_daemons, seconds(10)); }

  void Restart(int daemon) {
    m_daemons.at(daemon)->Kill();
    std::this_thread::sleep_for(kRestartDelay);
    m_daemons.at(daemon)->Start();
  }

  /// Sends one client attempt.
  /// @return the status of the response; 0 without one
  int Send(int daemon, const std::string& body) {
    const std::string id = "c" + std::to_string(m_next_id++);
    const std::string text =
        "POST /orders/1 HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: " + id +
        "\r\nX-Deadline-Ms: 1500\r\nAuthorization: Token key-of-t1\r\n"
        "Content-Length: " +
        std::to_string(body.size()) + "\r\n\r\n" + body;
    const auto response =
        Call(m_daemons.at(daemon)->Front(), text, milliseconds(2000));
    m_record.Line("client sent " + id + " (" + body + ") to " +
                  m_daemons.at(daemon)->Name() + ": " +
                  (response ? std::to_string(response->Status())
                            : std::string("no answer")));
    return response ? response->Status() : 0;
  }

  /// Sends the request that crashes workers while each worker runs a sound one,
  /// which another daemon has sent there.
  /// @return the number of sound requests that ran and got no success
  int SendBesideSoundOnes(int daemon) {
    std::vector<std::future<int>> sound;
    sound.reserve(kWorkers);
    for (int i = 0; i < kWorkers; ++i) {
      sound.push_back(std::async(std::launch::async, [this] {
        return Send(1, "slow " + std::to_string(m_next_sound++));
      }));
    }
    std::this_thread::sleep_for(milliseconds(200));
    Send(daemon, kCrashBody);
    int lost = 0;
    for (auto& status : sound) {
      constexpr int kUpstreamFailed = 502;
      lost += status.get() == kUpstreamFailed ? 1 : 0;
    }
    return lost;
  }

  /// @return when the request ran that crashes workers
  std::vector<Clock::time_point> Crashes() {
    const std::lock_guard lock(m_seen.mutex);
    std::vector<Clock::time_point> times;
    for (const RequestSeen& request : m_seen.requests) {
      if (request.body == kCrashBody) {
        times.push_back(request.at);
      }
    }
    return times;
  }

 private:
  Record& m_record;
  TemporaryFolder m_folder;
  std::string m_prefix = LoopbackPrefix();
  Seen m_seen;
  Store m_store;
  std::vector<std::unique_ptr<Worker>> m_workers;
  std::vector<std::unique_ptr<Daemon>> m_daemons;
  std::atomic<int> m_next_id{1};
  std::atomic<int> m_next_sound{1};
};

int Run(const std::string& record_path, bool trouble) {
  Record record(record_path);
  Deployment deployment(record);
  if (!deployment.WaitReady()) {
    record.Line("the daemons are not ready");
    return kNotRun;
  }
  std::this_thread::sleep_for(kContact);
  for (int daemon = 0; daemon < 3; ++daemon) {
    deployment.Send(daemon, kCrashBody);
    deployment.Send(daemon, "sound");
    std::this_thread::sleep_for(kInterval);
  }
  const auto first_crashes = deployment.Crashes();
  if (first_crashes.size() < 3) {
    record.Line("the request did not crash three workers");
    return kNotRun;
  }
  const auto counted_from = first_crashes.at(2) + kContact;
  std::this_thread::sleep_until(counted_from);
  record.Line("retries count from here on");
  for (int daemon = 0; daemon < 6; ++daemon) {
    deployment.Send(daemon, kCrashBody);
  }
  int lost = 0;
  for (const int daemon : {0, 3}) {
    if (trouble) {
      deployment.Restart(daemon);
    }
    if (!deployment.WaitReady()) {
      record.Line("the daemons are not ready again");
      return kNotRun;
    }
    // The machine is in touch before it gets the request.
    std::this_thread::sleep_for(kContact + milliseconds(1000));
    for (int i = 0; i < 4; ++i) {
      lost += deployment.SendBesideSoundOnes(daemon);
      std::this_thread::sleep_for(kInterval);
    }
  }
  const auto crashes = deployment.Crashes();
  const auto retries =
      std::count_if(crashes.begin(), crashes.end(),
                    [&](const auto& at) { return at > counted_from; });
  record.Line(std::to_string(retries) +
              " retries reached workers; three are allowed");
  record.Line(std::to_string(lost) +
              " sound requests were lost at the workers that crashed");
  return retries > kAllowedRetries ? kBroken : kHeld;
}

}  // namespace

int main(int argc, char** argv) {
  const char* trouble = std::getenv("TROUBLE");
  int result = kNotRun;
  try {
    result = Run(argc > 1 ? argv[1] : "record.txt",
                 trouble == nullptr || std::string(trouble) != "0");
  } catch (const std::exception& error) {
    std::cerr << error.what() << '\n';
  }
  std::cout << (result == kHeld     ? "held"
                : result == kBroken ? "BROKEN"
                                    : "could not run")
            << std::endl;
  std::_Exit(result);
}
