#ifndef JASMINEHATCH_TESTS_ZONE_SIMULATION_H_
#define JASMINEHATCH_TESTS_ZONE_SIMULATION_H_

#include <jasminehatch/core.h>

#include <array>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace jasminehatch::testing {

using Entries = std::map<config::EntryId, config::Fields>;

/// @brief A fake log that expires records and has an independent model of the
/// configuration fold.
class FakeZoneLog {
 public:
  struct ChangeResult {
    config::Version base = 0;
    bool accepted = false;
  };

  void Append(decltype(config::Record::body) body);
  config::Page PageFrom(config::Version from, std::size_t limit) const;

  /// Drops the records that the newest complete snapshot covers.
  void Expire();

  config::Version Next() const { return m_first + m_records.size(); }
  config::Version ModelVersion() const { return m_version; }
  const std::map<std::string, ChangeResult>& ChangeResults() const {
    return m_results;
  }

  /// @return version and entries of the model after the record at `offset`
  const std::pair<config::Version, Entries>& At(config::Version offset) const {
    return m_history.at(offset);
  }

  bool outage = false;

 private:
  config::Version m_first = 1;
  std::deque<config::Record> m_records;
  config::Version m_version = 0;
  Entries m_entries;
  std::map<std::string, ChangeResult> m_results;
  std::map<config::Version, std::set<std::uint32_t>> m_parts;
  config::Version m_covered = 0;
  std::vector<std::pair<config::Version, Entries>> m_history{{0, {}}};
};

/// @brief Simulates three daemons of one zone, the log and a queue of messages
/// that are delivered in any order. Checks the rules after each event.
class ZoneSimulation {
 public:
  static constexpr std::size_t kNodes = 3;

  struct Node {
    std::unique_ptr<State> state = std::make_unique<State>();
    std::uint64_t incarnation = 0;
    bool log_unreachable = false;
    config::Version version_in_force = 0;
    Entries in_force;
    std::map<std::string, std::uint64_t>
        gone;  ///< Highest incarnation reported gone, by name.
    std::array<config::Version, kNodes>
        needed{};  ///< Offsets of the peers that readiness requires.
    bool was_ready = false;
    std::pair<config::Version, config::Version>
        checked{};  ///< Offset and version in force at the last full check.
  };

  explicit ZoneSimulation(bool trace = false);

  void Restart(std::size_t node);
  void Post(std::size_t node, decltype(Event::body) body);
  void ReadLog(std::size_t node);
  void Advance(Duration time);
  void SetPartitioned(std::size_t left, std::size_t right, bool partitioned);
  void Publish(const config::ConfigChange& change, bool lost, bool twice);

  /// Delivers one queued message, or loses it.
  void Deliver(std::size_t index, bool lost);
  void DeliverAll();

  /// Advances the time in rounds; in each one all daemons read the log and all
  /// messages are delivered in order.
  void Settle(int rounds);

  /// @return the first violated rule, or an empty string
  const std::string& Violation() const { return m_violation; }
  const std::string& Trace() const { return m_trace; }

  FakeZoneLog log;
  std::array<Node, kNodes> nodes;
  std::size_t QueueSize() const { return m_queue.size(); }

 private:
  struct PendingMessage {
    std::function<void(bool lost)> deliver;
  };

  static std::string Name(std::size_t node) {
    return "entry-" + std::to_string(node + 1);
  }
  static std::size_t IndexOf(const std::string& name) {
    return static_cast<std::size_t>(name.back() - '1');
  }
  bool Reachable(std::size_t left, std::size_t right) const {
    return !m_partitions.contains(
        {std::min(left, right), std::max(left, right)});
  }
  /// Posts the event if the process with this incarnation still runs.
  void PostTo(std::size_t node,
              std::uint64_t incarnation,
              decltype(Event::body) body);
  void Execute(std::size_t node, const Effect& effect);
  void Apply(std::size_t node, const config::Effect& effect);
  void Apply(std::size_t node, const membership::Effect& effect);
  void Check(std::size_t node);
  void CheckMembership(std::size_t node);
  /// Stops requiring the offset of an unreachable peer for readiness.
  void MarkUnreachable(std::size_t node,
                       std::size_t peer,
                       std::uint64_t incarnation);
  void Fail(const std::string& rule, std::size_t node);
  void AddTraceLine(const std::string& line);

  MonotonicTime m_now{};
  std::uint64_t m_next_incarnation = 1;
  std::set<std::pair<std::size_t, std::size_t>> m_partitions;
  std::vector<PendingMessage> m_queue;
  std::array<std::optional<membership::Message>, kNodes> m_replies;
  std::string m_violation;
  bool m_tracing;
  std::string m_trace;
};

}  // namespace jasminehatch::testing

#endif  // JASMINEHATCH_TESTS_ZONE_SIMULATION_H_
