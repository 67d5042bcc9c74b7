#ifndef JASMINEHATCH_REVIEW_TESTS_WORKERS_H_
#define JASMINEHATCH_REVIEW_TESTS_WORKERS_H_

#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include "http.h"
#include "record.h"
#include "store.h"

namespace jasminehatch::review {

inline std::int64_t WallMs() {
  return std::chrono::duration_cast<milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

/// @brief An order that reached a worker.
struct OrderSeen {
  Clock::time_point at;
  std::string worker;
  std::string holder;
  std::uint64_t fence = 0;
  std::uint64_t version = 0;
  int status = 0;
};

/// @brief A request that reached a worker.
struct RequestSeen {
  Clock::time_point at;
  std::string worker;
  std::string id;
  std::string body;
  std::string tenant;
  std::string salt;   ///< Under which the worker keeps the prompt's parts.
  std::string parts;  ///< The parts of the prompt, in order.
};

/// @brief What all workers have seen.
struct Seen {
  std::mutex mutex;
  std::vector<OrderSeen> orders;
  std::vector<RequestSeen> requests;
};

/// @brief What the workers of a service are like.
struct WorkerKind {
  std::string service;
  std::string model;  ///< Empty for a plain service.
  unsigned slots = 6;
};

/// @brief A worker, as PROTOCOL.md describes it: it registers itself, takes
/// orders for new weights, runs requests, and crashes at a request whose body
/// begins with `crash`. One that begins with `slow` runs for longer.
class Worker {
 public:
  Worker(const std::string& ip,
         std::string zone,
         WorkerKind kind,
         Store& store,
         Seen& seen,
         Record& record)
      : m_zone(std::move(zone)),
        m_kind(std::move(kind)),
        m_store(store),
        m_seen(seen),
        m_record(record),
        m_server(ip,
                 [this](const Message& request) { return Handle(request); }) {
    Begin();
    m_beat = std::thread([this] { Beat(); });
  }
  ~Worker() {
    m_stop = true;
    m_beat.join();
  }
  Worker(const Worker&) = delete;
  Worker& operator=(const Worker&) = delete;

  std::uint64_t Version() {
    const std::lock_guard lock(m_mutex);
    FinishOrder();
    return m_state.version;
  }

 private:
  static constexpr milliseconds kBeatTime{1200};
  static constexpr milliseconds kLoadTime{270};
  static constexpr milliseconds kReportLag{200};
  static constexpr milliseconds kDownTime{2000};
  static constexpr milliseconds kRunTime{30};
  static constexpr milliseconds kSlowRunTime{800};

  struct State {
    std::uint64_t version = 1;
    std::uint64_t accepted = 0;  ///< Orders since the start.
    bool busy = false;
  };

  /// Begins a new incarnation.
  void Begin() {
    static std::atomic<std::uint64_t> next{std::random_device{}()};
    m_id = "i-" + std::to_string(next++);
    m_born = WallMs();
    m_state.accepted = 0;
    m_state.busy = false;
    m_highest_fence = 0;
    m_reported = m_state;
    Register();
  }

  void Register() {
    nlohmann::json entry{{"service", m_kind.service},
                         {"address", m_server.Address()},
                         {"zone", m_zone},
                         {"version", "v1"},
                         {"slots", m_kind.slots},
                         {"state", "ready"},
                         {"coldLeftMs", 0},
                         {"seq", m_state.accepted},
                         {"born", m_born}};
    if (!m_kind.model.empty()) {
      entry["stage"] = "combined";
      entry["models"] = Models(m_state);
    }
    m_store.Put("keyed.servers", m_id, entry.dump());
  }

  nlohmann::json Models(const State& state) const {
    return nlohmann::json::array({{{"name", m_kind.model},
                                   {"version", state.version},
                                   {"adapters", nlohmann::json::array()}}});
  }

  void Beat() {
    auto next = Clock::now() + kBeatTime;
    std::vector<std::pair<Clock::time_point, std::string>> gone;
    while (!m_stop) {
      std::this_thread::sleep_for(milliseconds(10));
      const std::lock_guard lock(m_mutex);
      const auto now = Clock::now();
      if (m_crashed_at && now - *m_crashed_at > kDownTime) {
        // The entry of the earlier incarnation expires after three beats.
        gone.emplace_back(*m_crashed_at + 3 * kBeatTime, m_id);
        m_crashed_at.reset();
        m_server.SetDown(false);
        Begin();
        next = now + kBeatTime;
      }
      std::erase_if(gone, [&](const auto& entry) {
        if (now < entry.first) {
          return false;
        }
        m_store.Put("keyed.servers", entry.second, "");
        return true;
      });
      if (m_crashed_at) {
        continue;
      }
      if (FinishOrder() || now >= next) {
        Register();
        next = now + kBeatTime;
      }
    }
  }

  /// @return whether an order has just been carried out
  bool FinishOrder() {
    if (!m_state.busy || Clock::now() < m_busy_until) {
      return false;
    }
    m_state.busy = false;
    m_state.version = m_loading;
    return true;
  }

  Reply Handle(const Message& request) {
    std::unique_lock lock(m_mutex);
    if (m_crashed_at) {
      return {0, {}, "", true};
    }
    FinishOrder();
    const std::string wanted = request.Header("x-target-instance");
    if (!wanted.empty() && wanted != m_id) {
      return {421,
              {{"X-Instance-Id", m_id},
               {"X-Request-Id", request.Header("x-request-id")},
               {"X-Not-Executed", "1"}},
              "",
              false};
    }
    if (request.Path() == "/report") {
      return Report();
    }
    if (request.Path() == "/order") {
      return Order(request);
    }
    return Run(request, lock);
  }

  Reply Report() {
    const auto now = Clock::now();
    if (now - m_reported_at > kReportLag) {
      m_reported = m_state;
      m_reported_at = now;
    }
    const nlohmann::json body{{"stage", "combined"},
                              {"models", Models(m_reported)},
                              {"busy", m_reported.busy},
                              {"seq", m_reported.accepted},
                              {"queued", 0},
                              {"running", 0},
                              {"kvUsed", 0},
                              {"kvTotal", 110864},
                              {"handles", 0},
                              {"born", m_born}};
    return {200, {{"Content-Type", "application/json"}}, body.dump(), false};
  }

  Reply Order(const Message& request) {
    const auto body = nlohmann::json::parse(request.body, nullptr, false);
    OrderSeen order;
    order.at = Clock::now();
    order.worker = m_id;
    order.status = 400;
    if (body.is_object() && body.contains("holder") && body.contains("fence")) {
      order.holder = body["holder"].get<std::string>();
      order.fence = body["fence"].get<std::uint64_t>();
      order.version = body.value("version", std::uint64_t{0});
      order.status = StatusOf(body, order);
    }
    if (order.status == 202) {
      ++m_state.accepted;
      m_state.busy = true;
      m_loading = order.version;
      m_busy_until = order.at + kLoadTime;
    }
    {
      const std::lock_guard lock(m_seen.mutex);
      m_seen.orders.push_back(order);
    }
    m_record.Line("order to " + order.worker + " from " + order.holder +
                  ", fence " + std::to_string(order.fence) + ", version " +
                  std::to_string(order.version) + ": " +
                  std::to_string(order.status));
    return {order.status, {{"Content-Type", "application/json"}}, "{}", false};
  }

  int StatusOf(const nlohmann::json& body, const OrderSeen& order) {
    if (order.fence < m_highest_fence) {
      return 412;
    }
    m_highest_fence = order.fence;
    if (m_state.version == order.version && !m_state.busy) {
      return 200;
    }
    const bool other_count =
        body.contains("expected") &&
        body["expected"].get<std::uint64_t>() != m_state.accepted;
    return m_state.busy || other_count ? 409 : 202;
  }

  Reply Run(const Message& request, std::unique_lock<std::mutex>& lock) {
    const std::string id = request.Header("x-request-id");
    const bool crash = request.body.starts_with("crash");
    const std::string expected = request.Header("x-expect-version");
    if (!expected.empty() && std::stoull(expected) != m_state.version) {
      return {421,
              {{"X-Instance-Id", m_id},
               {"X-Request-Id", id},
               {"X-Not-Executed", "1"}},
              "",
              false};
    }
    {
      const std::lock_guard seen_lock(m_seen.mutex);
      m_seen.requests.push_back(
          {Clock::now(), m_id, id, request.body, request.Header("x-tenant"),
           request.Header("x-cache-salt"), request.Header("x-prompt-prefix")});
    }
    m_record.Line("request " + id + " runs at " + m_id +
                  (crash ? ", which crashes" : ""));
    if (crash) {
      m_crashed_at = Clock::now();
      m_server.SetDown(true);
      return {0, {}, "", true};
    }
    const std::string version = std::to_string(m_state.version);
    lock.unlock();
    std::this_thread::sleep_for(request.body.starts_with("slow") ? kSlowRunTime
                                                                 : kRunTime);
    if (!m_kind.model.empty()) {
      return {200,
              {{"X-Request-Id", id},
               {"X-Response-Signature", "s." + id},
               {"X-Weight-Versions", version},
               {"Content-Type", "text/event-stream"}},
              "id: 1\ndata: done\n\n",
              false};
    }
    return {200,
            {{"X-Request-Id", id},
             {"X-Response-Signature", "s." + id},
             {"X-Server-Load", "1,0," + std::to_string(m_kind.slots)},
             {"Content-Type", "text/plain"}},
            "done " + id,
            false};
  }

  std::string m_zone;
  WorkerKind m_kind;
  Store& m_store;
  Seen& m_seen;
  Record& m_record;
  std::mutex m_mutex;
  std::string m_id;
  std::int64_t m_born = 0;
  State m_state;
  State m_reported;
  Clock::time_point m_reported_at{};
  std::uint64_t m_highest_fence = 0;
  std::uint64_t m_loading = 0;
  Clock::time_point m_busy_until{};
  std::optional<Clock::time_point> m_crashed_at;
  std::atomic<bool> m_stop{false};
  HttpServer m_server;
  std::thread m_beat;
};

}  // namespace jasminehatch::review

#endif  // JASMINEHATCH_REVIEW_TESTS_WORKERS_H_
