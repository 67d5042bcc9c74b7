#ifndef JASMINEHATCH_TESTS_PROCESS_MIXED_FAULT_RUN_H_
#define JASMINEHATCH_TESTS_PROCESS_MIXED_FAULT_RUN_H_

#include <jasminehatch/net.h>

#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <random>
#include <string>
#include <string_view>
#include <vector>

#include "jasminehatch/detail/testing/process.h"

namespace jasminehatch::test {

/// @brief Sends prompts and bookings to three daemons while processes and
/// responses are lost, and checks every response.
class MixedFaultRun {
 public:
  struct Options {
    std::string bin_dir;
    std::string work_dir;  ///< For settings files and logs.
    std::uint64_t requests = 0;
    double rate = 0;  ///< Requests per second.
    std::uint64_t seed = 0;
  };

  explicit MixedFaultRun(Options options);

  /// @return whether every check held; prints counts and violations
  bool Run();

 private:
  /// What the callers observed of one booking.
  struct Booking {
    std::uint32_t sends = 0;
    std::uint32_t not_run = 0;  ///< Sends refused as not run.
    bool ran = false;           ///< The service responded to a send.
    std::string response_body;
  };

  /// A daemon and how often it was killed.
  struct DaemonProcess {
    std::unique_ptr<testing::Process> process;
    std::uint64_t kills = 0;
  };

  struct Fault {
    double at;  ///< Share of the requests sent before it.
    void (MixedFaultRun::*inject)();
  };

  static const Fault kFaults[];

  void StartFleet();
  void StartEngine(std::size_t index, std::uint16_t port);
  void StartDaemon(std::size_t index, std::uint16_t port);
  void SetFaults(const std::string& url, const nlohmann::json& faults);
  void AwaitReady(std::size_t daemon);

  void BreakStreamsAndLoseResponses();
  void KillEngine();
  void RestartEngine();
  void StopLog();
  void ResumeLog();
  void PauseDaemon();
  void ResumeDaemon();
  void KillDaemon();
  void RestartDaemon();

  void SendNext();
  void SendPrompt();
  void SendBooking(const std::string& key);
  void OnPrompt(const std::string& expected,
                bool stream,
                bool daemon_was_killed,
                const net::HttpResult& result);
  void OnBooking(const std::string& key,
                 bool daemon_was_killed,
                 const net::HttpResult& result);
  void CheckBookings();
  /// Checks the shape of a refusal. @return its verdict
  std::string CheckRefusal(const std::string& body);
  net::HttpResult Call(net::HttpCall call);
  net::HttpCall MakeCall(std::size_t daemon, const std::string& path) const;
  std::size_t ChooseDaemon();
  bool Chance(double share);
  void AddViolation(std::string_view kind, const std::string& detail);

  Options m_options;
  std::mt19937_64 m_random;
  asio::io_context m_loop{1};
  /// Keeps the loop from stopping between two calls.
  asio::executor_work_guard<asio::io_context::executor_type> m_work{
      m_loop.get_executor()};
  net::HttpClient m_client{m_loop};
  asio::steady_timer m_timer{m_loop};
  std::chrono::steady_clock::time_point m_next_arrival;
  std::unique_ptr<testing::Process> m_log;
  std::unique_ptr<testing::Process> m_service;
  std::vector<std::unique_ptr<testing::Process>> m_engines;
  std::vector<DaemonProcess> m_daemons;
  std::vector<std::string> m_contexts;  ///< Contexts that can be sent again.
  std::map<std::string, Booking> m_bookings;
  std::map<std::string, std::uint64_t> m_counts;
  std::map<std::string, std::uint64_t> m_violations;
  std::uint64_t m_sent = 0;
  std::uint64_t m_in_progress = 0;
  std::size_t m_next_fault = 0;
};

}  // namespace jasminehatch::test

#endif  // JASMINEHATCH_TESTS_PROCESS_MIXED_FAULT_RUN_H_
