#ifndef JASMINEHATCH_DETAIL_EMULATOR_LOG_EMULATOR_H_
#define JASMINEHATCH_DETAIL_EMULATOR_LOG_EMULATOR_H_

#include <chrono>
#include <cstdint>
#include <list>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "jasminehatch/detail/http/http_server.h"

namespace jasminehatch::emulator {

/// @brief Emulates the platform's log service: append-only streams with
/// offsets.
///
/// Faults are set by `POST /admin/faults` with a JSON object: `outage`,
/// `lose_answers` (share of appends that take effect without a response),
/// `append_delay_ms`, `retention` (records kept per stream, 0 for all).
class LogEmulator {
 public:
  /// @brief Faults to inject.
  struct Faults {
    bool outage = false;
    /// Share of appends that take effect without a response; `lose_answers` in
    /// JSON.
    double lost_response_share = 0;
    std::chrono::milliseconds append_delay{0};
    std::size_t retention = 0;
  };

  LogEmulator(asio::io_context& loop,
              const net::HttpServer::Options& options,
              std::uint64_t seed);
  ~LogEmulator();

  std::uint16_t Port() const { return m_server.Port(); }
  void SetFaults(const Faults& faults) { m_faults = faults; }

  /// @return how many appends took effect
  std::uint64_t AppendCount() const { return m_append_count; }

 private:
  struct Stream;
  struct PendingRead;
  using Writer = std::shared_ptr<net::ResponseWriter>;

  void OnRequest(const net::HttpRequest& request, const Writer& writer);
  void OnAppend(const std::string& stream,
                std::string data,
                const Writer& writer);
  void FinishAppend(const std::string& stream,
                    std::string data,
                    const Writer& writer);
  void OnRead(const std::string& stream,
              const net::HttpRequest& request,
              const Writer& writer);
  void SendPage(const Stream& stream,
                std::uint64_t from,
                std::size_t limit,
                const Writer& writer) const;
  void OnFaults(const std::string& body, const Writer& writer);

  asio::io_context& m_loop;
  Faults m_faults;
  std::mt19937_64 m_random;
  std::map<std::string, Stream> m_streams;
  std::uint64_t m_append_count = 0;
  net::HttpServer m_server;
};

}  // namespace jasminehatch::emulator

#endif  // JASMINEHATCH_DETAIL_EMULATOR_LOG_EMULATOR_H_
