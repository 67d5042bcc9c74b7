// A tenant's prompt is read, then the tenant becomes dedicated, then another
// tenant sends a prompt with the same parts. Without trouble, the tenant is
// dedicated from the start. Checks that no request finds a part that another
// tenant's request made where one of the two is dedicated.

#include <array>
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
constexpr milliseconds kConfigApply{2000};
constexpr int kWorkers = 4;
const char* const kDedicated = "clinic";
const char* const kOther = "studio";

std::string Configuration(std::uint64_t version, bool dedicated) {
  return R"({"version":)" + std::to_string(version) +
         R"(,"routes":[{"name":"r1","host":"a.example",
"pathPrefix":"/chat/","kind":"streaming","timeoutMs":10000,"sloMs":600,
"priority":2,"service":"assistant-llm","attempts":2,"public":false,
"sticky":true,"resumable":false,"targetGapMs":300}],
"services":[{"name":"assistant-llm","healthPath":"/healthz","maxConns":360,
"protocol":"h1","tls":false,"engine":{"slots":64,"kvCapacity":110864,
"kvTokenBytes":131072,"linkMbps":550000.0,"maxInFlight":12,
"models":[{"name":"m0"}]}}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,
"headerTimeoutMs":3000,"idleTimeoutMs":15000},
"tenants":[{"name":"clinic","apiKeys":["key-of-clinic"],"priority":1,
"dedicated":)" +
         (dedicated ? "true" : "false") + R"(},
{"name":"studio","apiKeys":["key-of-studio"],"priority":1}]})";
}

/// @return whether all daemons served the prompt
bool SendToAll(const std::vector<std::unique_ptr<Daemon>>& daemons,
               const std::string& tenant,
               Record& record) {
  static int next_id = 1;
  bool served = true;
  for (const auto& daemon : daemons) {
    const std::string id = "c" + std::to_string(next_id++);
    const std::string body = "prompt of " + tenant;
    const std::string text =
        "POST /chat/1 HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: " + id +
        "\r\nX-Model: m0\r\nX-Token-Usage: 2600,20\r\n"
        "X-Prompt-Prefix: aa01:1800,aa02:600," +
        id + ":200\r\nX-Deadline-Ms: 8000\r\nAuthorization: Token key-of-" +
        tenant + "\r\nContent-Length: " + std::to_string(body.size()) +
        "\r\n\r\n" + body;
    const auto response = Call(daemon->Front(), text, seconds(8));
    record.Line("client sent " + id + " of " + tenant + " to " +
                daemon->Name() + ": " +
                (response ? std::to_string(response->Status())
                          : std::string("no answer")));
    served = served && response && response->Status() == 200;
  }
  return served;
}

/// Follows what each worker keeps: a part is found if all parts before it are
/// kept under the same salt. Memory is ample, so that nothing yields.
/// @param dedicated_from when the tenant was dedicated for all requests
/// @return the uses of parts across the wall
int CountUses(Seen& seen, Clock::time_point dedicated_from, Record& record) {
  const std::lock_guard lock(seen.mutex);
  std::map<std::string, std::string> maker;  // By worker, salt and parts.
  int uses = 0;
  for (const RequestSeen& request : seen.requests) {
    for (std::size_t end = request.parts.find(',');;
         end = request.parts.find(',', end + 1)) {
      const std::string key = request.worker + " " + request.salt + " " +
                              request.parts.substr(0, end);
      const auto [kept, made] = maker.emplace(key, request.tenant);
      const bool crosses = !made && kept->second != request.tenant &&
                           request.at > dedicated_from;
      if (crosses &&
          (kept->second == kDedicated || request.tenant == kDedicated)) {
        ++uses;
        record.Line("BROKEN: request " + request.id + " of " + request.tenant +
                    " uses at " + request.worker + " the parts " +
                    request.parts.substr(0, end) + " under salt '" +
                    request.salt + "', which a request of " + kept->second +
                    " made");
      }
      if (end == std::string::npos) {
        break;
      }
    }
  }
  return uses;
}

int Run(const std::string& record_path, bool trouble) {
  Record record(record_path);
  const TemporaryFolder folder;
  const std::string prefix = LoopbackPrefix();
  Seen seen;
  Store store(prefix + "1", seconds(300));
  store.Put("keyed.op", "config", Configuration(1, !trouble));
  const std::array<std::string, 3> zones{"levis", "rimouski", "saguenay"};
  std::vector<std::unique_ptr<Worker>> workers;
  workers.reserve(kWorkers);
  for (int i = 0; i < kWorkers; ++i) {
    workers.push_back(std::make_unique<Worker>(
        prefix + "2", zones.at(i % 3), WorkerKind{"assistant-llm", "m0", 64},
        store, seen, record));
  }
  std::vector<std::unique_ptr<Daemon>> daemons;
  for (int i = 0; i < 6; ++i) {
    daemons.push_back(std::make_unique<Daemon>(
        "edge-" + zones.at(i / 2) + "-" + std::to_string(i % 2 + 1),
        prefix + std::to_string(10 + i), zones.at(i / 2), store.Address(),
        folder.Path(), record));
    daemons.back()->Start();
  }
  if (!WaitUntilReady(daemons, seconds(10))) {
    record.Line("the daemons are not ready");
    return kNotRun;
  }
  std::this_thread::sleep_for(kContact);
  if (!SendToAll(daemons, kDedicated, record)) {
    return kNotRun;
  }
  store.Put("keyed.op", "config", Configuration(2, true));
  record.Line("configuration 2 is acknowledged; clinic is dedicated in it");
  std::this_thread::sleep_for(kConfigApply + milliseconds(1000));
  const auto dedicated_from = Clock::now();
  if (!SendToAll(daemons, kOther, record)) {
    return kNotRun;
  }
  const int uses = CountUses(seen, dedicated_from, record);
  record.Line(std::to_string(uses) + " uses of parts across the wall");
  return uses > 0 ? kBroken : kHeld;
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
