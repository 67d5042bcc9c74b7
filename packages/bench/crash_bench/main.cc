// Compares ways to tell which prompt part crashes upstreams, in simulated time.

#include <gflags/gflags.h>
#include <jasminehatch/core.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <cmath>
#include <cstdint>
#include <cstdio>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <span>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <utility>
#include <vector>

DEFINE_uint64(seed, 20261204, "seed of all random choices");

namespace jasminehatch::bench {
namespace {

using forwarding::CrashReport;
using forwarding::PartSuspects;
using forwarding::PartVerdict;
using std::chrono::milliseconds;
using std::chrono::seconds;

using Parts = std::vector<std::uint64_t>;

constexpr std::uint64_t kDeadlyPart = 1;
constexpr seconds kDuration{40};
constexpr seconds kPoisonStart{5};
constexpr seconds kRestartAt{20};
constexpr seconds kGrace{3};
constexpr std::size_t kGraceCrash = 5;

/// @brief What one daemon knows and decides.
class Judge {
 public:
  virtual ~Judge() = default;
  virtual bool Refuses(const Parts& parts, MonotonicTime now) = 0;
  virtual void OnCrash(const CrashReport& report, MonotonicTime now) = 0;
  virtual void OnAnswer(const Parts& parts, MonotonicTime now) = 0;
  virtual void OnVerdict(const PartVerdict& /*verdict*/,
                         MonotonicTime /*now*/) {}
  virtual std::vector<PartVerdict> Verdicts(MonotonicTime /*now*/) {
    return {};
  }
};

/// Refuses a part after three crashes, whatever else is known of it.
class PlainCounts : public Judge {
 public:
  bool Refuses(const Parts& parts, MonotonicTime /*now*/) override {
    return std::any_of(parts.begin(), parts.end(), [&](std::uint64_t part) {
      const auto found = m_crashes.find(part);
      return found != m_crashes.end() && found->second.size() >= 3;
    });
  }
  void OnCrash(const CrashReport& report, MonotonicTime /*now*/) override {
    for (const std::uint64_t part : report.parts) {
      m_crashes[part].insert(report.upstream);
    }
  }
  void OnAnswer(const Parts& /*parts*/, MonotonicTime /*now*/) override {}

 private:
  std::unordered_map<std::uint64_t, std::unordered_set<std::uint64_t>>
      m_crashes;
};

/// Refuses a part when its crashes are 10,000 times as likely if it crashes
/// upstreams as if it does not.
class LikelihoodRatio : public Judge {
 public:
  bool Refuses(const Parts& parts, MonotonicTime /*now*/) override {
    const double chance =
        (m_total_crashes + 1.0) / (m_total_crashes + m_total_answers + 10.0);
    return std::any_of(parts.begin(), parts.end(), [&](std::uint64_t part) {
      const auto found = m_parts.find(part);
      return found != m_parts.end() &&
             static_cast<double>(found->second.crashes.size()) *
                         -std::log(chance) +
                     found->second.answers * std::log(kErrorShare) >
                 std::log(kRequiredRatio);
    });
  }
  void OnCrash(const CrashReport& report, MonotonicTime /*now*/) override {
    ++m_total_crashes;
    for (const std::uint64_t part : report.parts) {
      m_parts[part].crashes.insert(report.upstream);
    }
  }
  void OnAnswer(const Parts& parts, MonotonicTime /*now*/) override {
    ++m_total_answers;
    for (const std::uint64_t part : parts) {
      ++m_parts[part].answers;
    }
  }

 private:
  static constexpr double kErrorShare = 0.1;
  static constexpr double kRequiredRatio = 1e4;

  struct Counts {
    std::unordered_set<std::uint64_t> crashes;
    int answers = 0;
  };
  std::unordered_map<std::uint64_t, Counts> m_parts;
  double m_total_crashes = 0;
  double m_total_answers = 0;
};

/// The product's way: crashes since the last answer, with verdicts that
/// daemons share and may object to.
class Exoneration : public Judge {
 public:
  Exoneration(std::size_t daemons, std::uint64_t seed) : m_random(seed) {
    m_suspects.SetDaemons(daemons);
  }
  bool Refuses(const Parts& parts, MonotonicTime now) override {
    return m_suspects.RefusalTimeLeft(parts, now) &&
           !m_suspects.TryProbe(parts, m_random(), now);
  }
  void OnCrash(const CrashReport& report, MonotonicTime now) override {
    m_suspects.RecordCrash(report, now);
  }
  void OnAnswer(const Parts& parts, MonotonicTime now) override {
    m_suspects.RecordAnswer(parts, now);
  }
  void OnVerdict(const PartVerdict& verdict, MonotonicTime now) override {
    m_suspects.Merge(verdict, now);
  }
  std::vector<PartVerdict> Verdicts(MonotonicTime now) override {
    return m_suspects.Verdicts(now);
  }

 private:
  PartSuspects m_suspects;
  std::mt19937_64 m_random;
};

struct Mix {
  const char* name;
  double garbled_share;  ///< Of answers that break off after the head.
  bool racks;            ///< A tenth of the upstreams crash every 4 s.
};

struct Setup {
  std::size_t daemons;
  double deadly_share;
  Mix mix;
  const char* strategy;
};

struct Result {
  std::size_t crashes = 0;      ///< By the deadly part.
  std::size_t late_deadly = 0;  ///< Sent after the grace time.
  std::size_t sound = 0;        ///< After the fifth crash.
  std::size_t sound_refused = 0;
};

class Simulation {
 public:
  explicit Simulation(const Setup& setup)
      : m_setup(setup), m_random(FLAGS_seed) {
    for (std::size_t i = 0; i < setup.daemons; ++i) {
      m_judges.push_back(MakeJudge());
    }
  }

  Result Run() {
    At(Duration{}, [this] { Arrive(); });
    At(milliseconds(100), [this] { Gossip(); });
    At(kRestartAt, [this] { RestartSome(); });
    if (m_setup.mix.racks) {
      At(seconds(2), [this] { FailRack(); });
    }
    while (!m_events.empty() && m_events.begin()->first - kStart < kDuration) {
      auto event = m_events.extract(m_events.begin());
      m_now = event.key();
      event.mapped()();
    }
    return m_result;
  }

 private:
  static constexpr MonotonicTime kStart{std::chrono::hours(1)};
  static constexpr double kRequestsPerDaemon = 8;  ///< In a second.
  static constexpr std::size_t kFanOut = 8;
  static constexpr double kMessageLoss = 0.02;

  struct Request {
    std::uint64_t id = 0;
    std::size_t daemon = 0;
    std::uint64_t upstream = 0;
    Parts parts;
    bool deadly = false;
    MonotonicTime head_at{};
  };

  std::unique_ptr<Judge> MakeJudge() {
    const std::string name = m_setup.strategy;
    if (name == "plain counts") {
      return std::make_unique<PlainCounts>();
    }
    if (name == "likelihood ratio") {
      return std::make_unique<LikelihoodRatio>();
    }
    return std::make_unique<Exoneration>(m_setup.daemons, m_random());
  }

  double Uniform() {
    return std::uniform_real_distribution<double>(0, 1)(m_random);
  }
  std::size_t Below(std::size_t end) {
    return std::uniform_int_distribution<std::size_t>(0, end - 1)(m_random);
  }
  Duration Seconds(double time) const {
    return std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(time));
  }
  void At(Duration after, std::function<void()> action) {
    m_events.emplace(m_now + after, std::move(action));
  }

  std::size_t Upstreams() const { return 2 * m_setup.daemons; }

  /// The first part is one of 3; the second one of 200, some of them rare.
  Parts ChooseParts(bool deadly) {
    const double rank = Uniform() * Uniform() * Uniform();
    Parts parts{100 + Below(3), 1000 + static_cast<std::uint64_t>(rank * 200)};
    if (deadly) {
      parts.push_back(kDeadlyPart);
    }
    return parts;
  }

  void Arrive() {
    const double rate =
        kRequestsPerDaemon * static_cast<double>(m_setup.daemons);
    At(Seconds(-std::log(1 - Uniform()) / rate), [this] { Arrive(); });
    Request request;
    request.id = ++m_last_id;
    request.deadly =
        m_now - kStart >= kPoisonStart && Uniform() < m_setup.deadly_share;
    request.parts = ChooseParts(request.deadly);
    request.daemon = Below(m_setup.daemons);
    request.upstream = Below(Upstreams());
    const bool refused =
        m_judges[request.daemon]->Refuses(request.parts, m_now);
    Account(request, refused);
    if (!refused) {
      At(Seconds(0.2 + Uniform()), [this, request] { Begin(request); });
    }
  }

  void Account(const Request& request, bool refused) {
    if (request.deadly) {
      m_result.late_deadly +=
          !refused && m_fifth_crash && m_now - *m_fifth_crash > kGrace ? 1 : 0;
      return;
    }
    m_result.sound += m_fifth_crash ? 1 : 0;
    m_result.sound_refused += refused ? 1 : 0;
  }

  /// The upstream sends the head, and after some time the first event.
  void Begin(Request request) {
    request.head_at = m_now;
    m_begun[request.upstream].push_back(request);
    if (request.deadly) {
      At(milliseconds(100), [this, request] { CrashBy(request); });
    } else {
      At(Seconds(0.02 * Uniform()), [this, request] { Answer(request); });
    }
  }

  bool Take(const Request& request) {
    auto& begun = m_begun[request.upstream];
    return std::erase_if(begun, [&](const Request& other) {
             return other.id == request.id;
           }) > 0;
  }

  void Answer(const Request& request) {
    if (!Take(request)) {
      return;
    }
    if (Uniform() < m_setup.mix.garbled_share) {
      Report(request);
    } else {
      m_judges[request.daemon]->OnAnswer(request.parts, m_now);
    }
  }

  void CrashBy(const Request& request) {
    const auto& begun = m_begun[request.upstream];
    if (std::none_of(begun.begin(), begun.end(), [&](const Request& other) {
          return other.id == request.id;
        })) {
      return;
    }
    if (++m_result.crashes == kGraceCrash) {
      m_fifth_crash = m_now;
    }
    FailUpstream(request.upstream);
  }

  void FailUpstream(std::uint64_t upstream) {
    for (const Request& victim : std::exchange(m_begun[upstream], {})) {
      Report(victim);
    }
    ++m_incarnations[upstream];
  }

  void FailRack() {
    At(seconds(4), [this] { FailRack(); });
    for (std::size_t i = 0; i < Upstreams() / 10; ++i) {
      FailUpstream(Below(Upstreams()));
    }
  }

  void Report(const Request& victim) {
    CrashReport report;
    report.upstream =
        victim.upstream * 10'000 + m_incarnations[victim.upstream];
    report.own_part = victim.id;
    report.parts = victim.parts;
    m_judges[victim.daemon]->OnCrash(report, m_now);
    const auto rounds = static_cast<std::size_t>(std::ceil(
        std::log(static_cast<double>(m_setup.daemons)) / std::log(kFanOut)));
    for (std::size_t i = 0; i < m_setup.daemons; ++i) {
      // Reports are repeated, so that few daemons miss one.
      if (i == victim.daemon || Uniform() < kMessageLoss) {
        continue;
      }
      const Duration delay =
          Seconds(0.1 * Uniform() * static_cast<double>(rounds) + 0.005);
      At(delay, [this, i, report, delay] {
        CrashReport relayed = report;
        relayed.age = delay - milliseconds(5);
        m_judges[i]->OnCrash(relayed, m_now);
      });
    }
  }

  /// Each daemon sends its verdicts to some others.
  void Gossip() {
    At(milliseconds(100), [this] { Gossip(); });
    for (const auto& judge : m_judges) {
      const auto verdicts = judge->Verdicts(m_now);
      if (verdicts.empty()) {
        continue;
      }
      for (std::size_t i = 0; i < kFanOut; ++i) {
        const std::size_t to = Below(m_judges.size());
        if (Uniform() < kMessageLoss) {
          continue;
        }
        for (const PartVerdict& verdict : verdicts) {
          m_judges[to]->OnVerdict(verdict, m_now);
        }
      }
    }
  }

  void RestartSome() {
    for (std::size_t i = 0; i < m_judges.size(); i += 4) {
      m_judges[i] = MakeJudge();
    }
  }

  Setup m_setup;
  std::mt19937_64 m_random;
  MonotonicTime m_now = kStart;
  std::multimap<MonotonicTime, std::function<void()>> m_events;
  std::vector<std::unique_ptr<Judge>> m_judges;
  std::unordered_map<std::uint64_t, std::vector<Request>> m_begun;
  std::unordered_map<std::uint64_t, std::uint64_t> m_incarnations;
  std::optional<MonotonicTime> m_fifth_crash;
  std::uint64_t m_last_id = 0;
  Result m_result;
};

void PrintTable() {
  constexpr std::array kMixes{
      Mix{"deadly part alone", 0, false}, Mix{"with racks", 0, true},
      Mix{"with 2% garbled", 0.02, false}, Mix{"with both", 0.02, true}};
  std::printf("%-20s %7s %6s  %-16s %7s %11s %13s\n", "mix", "daemons", "share",
              "way", "crashes", "late deadly", "sound refused");
  for (const Mix& mix : kMixes) {
    for (const std::size_t daemons : {6, 82, 295}) {
      for (const double share : {0.002, 0.05}) {
        for (const char* way :
             {"plain counts", "likelihood ratio", "exoneration"}) {
          const Result result = Simulation({daemons, share, mix, way}).Run();
          std::printf("%-20s %7zu %5.1f%%  %-16s %7zu %11zu %13zu\n", mix.name,
                      daemons, share * 100, way, result.crashes,
                      result.late_deadly, result.sound_refused);
        }
      }
    }
  }
}

}  // namespace
}  // namespace jasminehatch::bench

int main(int argc, char** argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  jasminehatch::bench::PrintTable();
  return 0;
}
