// Weights are published twice, the second time 28 s after the first rollout has
// ended. With trouble, the store keeps records for 20 s, so that those of the
// first rollout have expired at the second one; without, it keeps them for 300
// s. No process fails. Checks that no engine gets orders from two daemons
// within `leaseMs`.

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

/// The history of the small deployments' store, and the `keep_s` of the example
/// of settings.
constexpr seconds kShortKeep{20};
constexpr seconds kLongKeep{300};
/// Time between the two rollouts. The holder gives its lease back some seconds
/// after its last order.
constexpr seconds kPause{28};
constexpr milliseconds kLease{3000};
constexpr milliseconds kContact{3000};
constexpr int kEngines = 12;
const char* const kModel = "m0";
const char* const kService = "assistant-llm";

std::string Configuration() {
  return R"({"version":1,"routes":[{"name":"r1","host":"a.example",
"pathPrefix":"/chat/","kind":"streaming","timeoutMs":10000,"sloMs":600,
"priority":2,"service":"assistant-llm","attempts":2,"public":false,
"sticky":true,"resumable":false,"targetGapMs":300}],
"services":[{"name":"assistant-llm","healthPath":"/healthz","maxConns":360,
"protocol":"h1","tls":false,"engine":{"slots":64,"kvCapacity":110864,
"kvTokenBytes":131072,"linkMbps":550000.0,"maxInFlight":12,
"models":[{"name":"m0"}]}}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,
"headerTimeoutMs":3000,"idleTimeoutMs":15000},
"tenants":[{"name":"t1","apiKeys":["key-of-t1"],"priority":1}]})";
}

void Publish(Store& store, Record& record, std::uint64_t version) {
  const nlohmann::json value{{"model", kModel}, {"version", version}};
  store.Put("keyed.op", std::string("version/") + kModel, value.dump());
  record.Line("version " + std::to_string(version) + " is named");
}

bool WaitForVersion(const std::vector<std::unique_ptr<Worker>>& workers,
                    std::uint64_t version,
                    milliseconds limit) {
  const auto until = Clock::now() + limit;
  while (Clock::now() < until) {
    if (std::all_of(workers.begin(), workers.end(), [&](const auto& worker) {
          return worker->Version() == version;
        })) {
      return true;
    }
    std::this_thread::sleep_for(milliseconds(50));
  }
  return false;
}

/// @return the pairs of orders to one engine that came from different daemons
/// within `kLease`
int CountTurns(Seen& seen, Record& record) {
  const std::lock_guard lock(seen.mutex);
  std::map<std::string, OrderSeen> last;
  int turns = 0;
  for (const OrderSeen& order : seen.orders) {
    const auto before = last.find(order.worker);
    if (before != last.end() && before->second.holder != order.holder &&
        order.at - before->second.at < kLease) {
      ++turns;
      record.Line(
          "BROKEN: " + order.worker + " got an order from " +
          before->second.holder + " (fence " +
          std::to_string(before->second.fence) + ") and " +
          std::to_string((order.at - before->second.at) / milliseconds(1)) +
          " ms later one from " + order.holder + " (fence " +
          std::to_string(order.fence) + ")");
    }
    last[order.worker] = order;
  }
  return turns;
}

int Run(const std::string& record_path, bool trouble) {
  Record record(record_path);
  const TemporaryFolder folder;
  const std::string prefix = LoopbackPrefix();
  Seen seen;
  Store store(prefix + "1", trouble ? kShortKeep : kLongKeep);
  store.Put("keyed.op", "config", Configuration());
  const std::array<std::string, 3> zones{"levis", "rimouski", "saguenay"};
  std::vector<std::unique_ptr<Worker>> workers;
  workers.reserve(kEngines);
  for (int i = 0; i < kEngines; ++i) {
    workers.push_back(std::make_unique<Worker>(prefix + "2", zones.at(i % 3),
                                               WorkerKind{kService, kModel, 64},
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
  Publish(store, record, 2);
  if (!WaitForVersion(workers, 2, seconds(15))) {
    record.Line("the engines did not reach version 2");
    return kNotRun;
  }
  record.Line("all engines have version 2");
  std::this_thread::sleep_for(kPause);
  record.Line("records of the lease topic that the store still has: " +
              std::to_string(store.Kept("jasminehatch-lease")));
  Publish(store, record, 3);
  const bool reached = WaitForVersion(workers, 3, seconds(15));
  record.Line(reached ? "all engines have version 3"
                      : "the engines did not reach version 3");
  std::this_thread::sleep_for(seconds(2));
  const int turns = CountTurns(seen, record);
  record.Line(std::to_string(turns) + " turns of two holders within leaseMs");
  return turns > 0 ? kBroken : reached ? kHeld : kNotRun;
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
