#ifndef JASMINEHATCH_DETAIL_EMULATOR_SERVICE_EMULATOR_H_
#define JASMINEHATCH_DETAIL_EMULATOR_SERVICE_EMULATOR_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <string>

#include "jasminehatch/detail/http/http_server.h"

namespace jasminehatch::emulator {

/// @brief Emulates a plain booking service that runs every POST it receives and
/// counts the runs by key.
///
/// `GET /runs` returns the number of runs by `Idempotency-Key`; other GET
/// requests return the path. Faults are set by `POST /admin/faults`:
/// `lose_answers` (share of bookings that run without a response), `delay_ms`,
/// `refuse` (share of bookings rejected with the verdict that they did not
/// run).
class ServiceEmulator {
 public:
  struct Faults {
    /// Share of bookings that run without a response; `lose_answers` in JSON.
    double lost_response_share = 0;
    /// Share of bookings rejected with the verdict `not_run`; `refuse` in JSON.
    double refuse_share = 0;
    std::chrono::milliseconds delay{0};
  };

  ServiceEmulator(asio::io_context& loop,
                  const net::HttpServer::Options& options,
                  std::uint64_t seed);
  ~ServiceEmulator();

  std::uint16_t Port() const { return m_server.Port(); }
  void SetFaults(const Faults& faults) { m_faults = faults; }
  const std::map<std::string, std::uint64_t>& Runs() const { return m_runs; }

 private:
  using Writer = std::shared_ptr<net::ResponseWriter>;

  void OnRequest(const net::HttpRequest& request, const Writer& writer);
  void Run(const std::string& key, const Writer& writer);
  void OnFaults(const std::string& body, const Writer& writer);

  asio::io_context& m_loop;
  Faults m_faults;
  std::mt19937_64 m_random;
  std::map<std::string, std::uint64_t> m_runs;
  net::HttpServer m_server;
};

}  // namespace jasminehatch::emulator

#endif  // JASMINEHATCH_DETAIL_EMULATOR_SERVICE_EMULATOR_H_
