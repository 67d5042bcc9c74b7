#ifndef REVIEW_ROUND_2_TESTS_WORKERS_H_
#define REVIEW_ROUND_2_TESTS_WORKERS_H_

// Stand-ins of workers, which register themselves in the store.

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "net.h"
#include "store.h"

namespace review {

/// @brief One worker. Its process may be replaced by another one.
struct Worker {
  std::string id;
  std::string zone;
  std::unique_ptr<Server> server;
  std::atomic<bool> is_down{false};
  std::uint64_t born = 0;  ///< Unix time of its start, in milliseconds.
  std::uint64_t writes = 0;
  std::mutex mutex;
};

/// @brief The workers of one service.
class Workers {
 public:
  using Handler = std::function<bool(Worker&, const Message&, Connection&)>;

  /// @param models the field `models` of their entries, or nothing
  Workers(Store& store,
          int count,
          std::string service,
          std::string models,
          const Handler& handler)
      : m_store(store),
        m_service(std::move(service)),
        m_models(std::move(models)) {
    static const std::vector<std::string> kZones{"levis", "rimouski",
                                                 "saguenay"};
    for (int i = 0; i < count; ++i) {
      m_workers.push_back(std::make_unique<Worker>());
      Worker& worker = *m_workers.back();
      worker.id = "i-" + std::to_string(i + 1);
      worker.zone = kZones[static_cast<std::size_t>(i) % kZones.size()];
      worker.born = UnixMilliseconds();
      worker.server = std::make_unique<Server>(
          [&worker, handler](const Message& request, Connection& connection) {
            return handler(worker, request, connection);
          });
    }
    WriteEntries();
    m_heartbeats = std::thread([this] {
      for (int i = 1; !m_done; ++i) {
        Sleep(50);
        if (i % 24 == 0 && !m_paused) {
          WriteEntries();
        }
      }
    });
  }
  ~Workers() {
    m_done = true;
    m_heartbeats.join();
    for (const auto& worker : m_workers) {
      worker->server->CloseAll();
    }
  }
  Workers(const Workers&) = delete;
  Workers& operator=(const Workers&) = delete;

  /// Each worker that is up writes its entry.
  void WriteEntries() {
    for (const auto& worker : m_workers) {
      if (!worker->is_down) {
        WriteEntry(*worker);
      }
    }
  }

  void WriteEntry(Worker& worker) {
    const std::scoped_lock lock(worker.mutex);
    m_store.Put("keyed.servers", worker.id,
                R"({"service":")" + m_service + R"(","address":")" +
                    worker.server->Address() + R"(","zone":")" + worker.zone +
                    R"(","version":"v1","slots":64,"state":"ready",)"
                    R"("coldLeftMs":0,)" +
                    m_models + R"("seq":)" + std::to_string(++worker.writes) +
                    R"(,"born":)" + std::to_string(worker.born) + "}");
  }

  /// Stops or resumes the regular writes while the store is away.
  void Pause(bool paused) { m_paused = paused; }

  /// Ends the process of a worker; another one starts after some time.
  void Restart(Worker& worker, int pause_ms) {
    worker.server->CloseAll();
    Sleep(pause_ms);
    {
      const std::scoped_lock lock(worker.mutex);
      worker.born = UnixMilliseconds();
      worker.writes = 0;
    }
    worker.server->Open();
    worker.is_down = false;
    WriteEntry(worker);
  }

 private:
  static std::uint64_t UnixMilliseconds() {
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<Milliseconds>(
            std::chrono::system_clock::now().time_since_epoch())
            .count());
  }

  Store& m_store;
  std::string m_service;
  std::string m_models;
  std::vector<std::unique_ptr<Worker>> m_workers;
  std::thread m_heartbeats;
  std::atomic<bool> m_done{false};
  std::atomic<bool> m_paused{false};
};

/// The limits of a configuration, as `fleetbench wire` shows them.
inline const std::string kLimits =
    R"("limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,)"
    R"("headerTimeoutMs":3000,"idleTimeoutMs":15000})";

/// A service with plain requests.
inline const std::string kPlainRoutes =
    R"("routes":[{"name":"lookup","host":"pule25.example",)"
    R"("pathPrefix":"/lookup/","kind":"idempotent","timeoutMs":1500,)"
    R"("sloMs":150,"priority":2,"service":"orders","attempts":2,)"
    R"("public":false,"sticky":false,"resumable":false}],)"
    R"("services":[{"name":"orders","healthPath":"/healthz","maxConns":96}])";

/// A service of model workers with streams that may not be resumed.
inline const std::string kModelRoutes =
    R"("routes":[{"name":"digest","host":"pule25.example",)"
    R"("pathPrefix":"/digest/","kind":"streaming","timeoutMs":10000,)"
    R"("sloMs":600,"targetGapMs":300,"priority":1,"service":"llm",)"
    R"("attempts":1,"public":false,"sticky":true,"resumable":false}],)"
    R"("services":[{"name":"llm","healthPath":"/healthz","maxConns":360,)"
    R"("engine":{"slots":64,"kvCapacity":103909,"kvTokenBytes":163840,)"
    R"("models":[{"name":"m0"}]}}])";

/// The field `models` of the entry of a model worker.
inline const std::string kModelField =
    R"("stage":"combined",)"
    R"("models":[{"name":"m0","version":1,"adapters":[]}],)";

/// @return a configuration with one tenant
inline std::string MakeConfiguration(int version,
                                     const std::string& routes,
                                     const std::string& keys) {
  return R"({"version":)" + std::to_string(version) + "," + routes +
         R"(,"tenants":[{"name":"office","apiKeys":)" + keys +
         R"(,"dedicated":false}],)" + kLimits + "}";
}

}  // namespace review

#endif  // REVIEW_ROUND_2_TESTS_WORKERS_H_
