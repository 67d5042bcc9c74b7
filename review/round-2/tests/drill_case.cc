// The store comes back from a copy some seconds old, in a drill. The operator
// and the workers write again what they wrote, and the operator then takes a
// key away.
// Usage: drill_case RECORD

#include <atomic>
#include <string>
#include <vector>

#include "daemons.h"
#include "net.h"
#include "store.h"
#include "workers.h"

namespace {

using namespace review;

constexpr int kRevokeMs = 5000;
constexpr char kKeptKey[] = "kept-key";
constexpr char kTakenKey[] = "taken-key";

class DrillCase {
 public:
  explicit DrillCase(Record& record) : m_record(record) {}

  int Run();

 private:
  void WriteConfiguration(int version, bool has_taken_key);
  void Drill();
  void SendToAll(const std::string& key);
  void Send(const Daemon& daemon, const std::string& key);

  Record& m_record;
  Store m_store;
  Workers m_workers{
      m_store, 3, "orders", "",
      [this](Worker& worker, const Message& request, Connection& connection) {
        const std::string id = request.Header("X-Request-Id");
        m_record.Write("ran " + id + " at " + worker.id);
        m_late_runs += id.starts_with("late-taken") ? 1 : 0;
        return connection.Write(FormatResponse(
            "200 OK",
            "X-Request-Id: " + id + "\r\nX-Response-Signature: " + worker.id +
                "." + id + "\r\n",
            "schedule\n"));
      }};
  std::vector<const Daemon*> m_daemons;
  bool m_is_late = false;  ///< `kRevokeMs` have passed.
  std::atomic<int> m_late_runs{0};
  int m_next_request = 1;
  int m_late_refusals = 0;
  int m_kept_sent = 0;
  int m_kept_served = 0;
};

/// The operator writes its newest configuration.
void DrillCase::WriteConfiguration(int version, bool has_taken_key) {
  const auto offset = m_store.Put(
      "keyed.op", "config",
      MakeConfiguration(
          version, kPlainRoutes,
          has_taken_key ? R"(["kept-key","taken-key"])" : R"(["kept-key"])"));
  m_record.Write("operator: version " + std::to_string(version) +
                 " acknowledged at offset " + std::to_string(offset) +
                 (has_taken_key ? "" : ", takes the key away"));
}

void DrillCase::Drill() {
  m_workers.Pause(true);
  m_record.Write("the store goes away");
  m_store.Leave();
  Sleep(1000);
  m_store.ReturnFromCopy();
  m_record.Write("the store is back from its copy, in the next era");
  m_workers.WriteEntries();
  m_workers.Pause(false);
  WriteConfiguration(6, true);
}

void DrillCase::Send(const Daemon& daemon, const std::string& key) {
  const bool is_taken = key == kTakenKey;
  const std::string id = std::string(m_is_late ? "late-" : "early-") +
                         (is_taken ? "taken-" : "kept-") +
                         std::to_string(m_next_request++);
  m_record.Write("sent " + id + " to " + daemon.Name());
  const Answer answer = Call(
      daemon.Port(),
      "GET /lookup/7 HTTP/1.1\r\nHost: pule25.example\r\nX-Request-Id: " + id +
          "\r\nX-Deadline-Ms: 1500\r\nAuthorization: Token " + key + "\r\n\r\n",
      2000);
  m_record.Write("answered " + id + " " + std::to_string(answer.status));
  if (!m_is_late) {
    return;
  }
  if (is_taken) {
    m_late_refusals += answer.status == 401 ? 1 : 0;
  } else {
    ++m_kept_sent;
    m_kept_served += answer.status == 200 ? 1 : 0;
  }
}

void DrillCase::SendToAll(const std::string& key) {
  for (const Daemon* daemon : m_daemons) {
    Send(*daemon, key);
  }
}

int DrillCase::Run() {
  WriteConfiguration(1, true);
  const Fleet fleet(m_store.Address());
  for (const auto& daemon : fleet.All()) {
    m_daemons.push_back(daemon.get());
  }
  Sleep(2000);
  SendToAll(kTakenKey);
  m_record.Write("the store is copied");
  m_store.Copy();
  Sleep(800);
  WriteConfiguration(3, true);
  Sleep(1200);
  WriteConfiguration(6, true);
  SendToAll(kTakenKey);
  Sleep(1000);
  if (HasTrouble()) {
    Drill();
  }
  WriteConfiguration(8, false);
  const Time acknowledged = Clock::now();
  while (Clock::now() < acknowledged + Milliseconds(kRevokeMs)) {
    SendToAll(kTakenKey);
    SendToAll(kKeptKey);
    Sleep(500);
  }
  Sleep(200);
  m_is_late = true;
  m_record.Write("revokeMs have passed since the acknowledgement");
  for (int i = 0; i < 8; ++i) {
    SendToAll(kTakenKey);
    SendToAll(kKeptKey);
    Sleep(500);
  }
  m_record.Write(
      "sent later than revokeMs with the key that was taken away: " +
      std::to_string(m_late_runs) + " ran, " + std::to_string(m_late_refusals) +
      " got 401; with the other key: " + std::to_string(m_kept_served) +
      " of " + std::to_string(m_kept_sent) + " served");
  if (m_late_runs > 0) {
    return 1;
  }
  return m_kept_served > 0 ? 0 : 2;
}

}  // namespace

int main(int argc, char** argv) {
  return RunCase<DrillCase>(argc, argv);
}
