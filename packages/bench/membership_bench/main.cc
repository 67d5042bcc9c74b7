// Prints how the cost of the control plane scales: membership traffic over the
// number of daemons, and configuration cost over the number of workspaces.
// Command: build/bin/jasminehatch_membership_bench

#include <jasminehatch/codec.h>

#include <chrono>
#include <cstdio>
#include <ctime>
#include <memory>
#include <string>
#include <vector>

namespace {

using namespace jasminehatch;
using namespace std::chrono_literals;

constexpr std::chrono::seconds kSimulated = 300s;
constexpr std::size_t kChangesPerDaemon = 1;

double CpuSeconds() {
  return static_cast<double>(std::clock()) / CLOCKS_PER_SEC;
}

/// Simulates one zone without message loss, in which each daemon detects that
/// an upstream of its own is leaving and informs the others.
void MeasureZone(std::size_t count) {
  std::vector<std::unique_ptr<membership::State>> states;
  std::vector<std::string> names;
  for (std::size_t i = 0; i < count; ++i) {
    names.push_back("entry-" + std::to_string(1000 + i));
    states.push_back(std::make_unique<membership::State>());
  }
  std::size_t bytes = 0;
  MonotonicTime now{};
  const auto deliver = [&](std::size_t from,
                           const membership::Effects& effects) {
    for (const membership::Effect& effect : effects) {
      const auto* probe = std::get_if<membership::SendProbe>(&effect);
      if (probe == nullptr) {
        continue;
      }
      const std::string request = codec::EncodeRpcCall(
          "probe", codec::EncodeMembershipMessage(probe->message));
      const std::size_t to = std::stoul(probe->peer.substr(6)) - 1000;
      for (const auto& receiver_effect : membership::Step(
               membership::ProbeReceived{probe->message}, now, *states[to])) {
        if (const auto* reply =
                std::get_if<membership::SendReply>(&receiver_effect)) {
          const std::string text =
              codec::EncodeMembershipMessage(reply->message);
          bytes += request.size() + text.size() +
                   codec::EncodeRpcCall("", "").size();
          membership::Step(
              membership::ProbeReplyReceived{
                  probe->peer, codec::DecodeMembershipMessage(text)},
              now, *states[from]);
        }
      }
    }
  };
  const double start = CpuSeconds();
  for (std::size_t i = 0; i < count; ++i) {
    states[i]->probe_at = now;
    deliver(i, membership::Step(
                   membership::Started{names[i], 1'796'000'000'000'000 + i,
                                       i + 1, names},
                   now, *states[i]));
    for (std::size_t k = 0; k < kChangesPerDaemon; ++k) {
      membership::Step(
          membership::LeavingDetected{"worker-" + std::to_string(i)}, now,
          *states[i]);
    }
  }
  while (now.time_since_epoch() < kSimulated) {
    now += 100ms;
    for (std::size_t i = 0; i < count; ++i) {
      if (states[i]->NextTimer() && *states[i]->NextTimer() <= now) {
        deliver(i, membership::Step(membership::TimerFired{}, now, *states[i]));
      }
    }
  }
  const double daemon_seconds =
      static_cast<double>(count) * static_cast<double>(kSimulated.count());
  std::printf("%8zu %22.0f %22.4f\n", count,
              static_cast<double>(bytes) / daemon_seconds,
              100 * (CpuSeconds() - start) / daemon_seconds);
}

void MeasureConfiguration(std::size_t workspaces) {
  config::ConfigChange change;
  change.change_id = "first";
  change.updates.push_back(
      {{"upstream", "w"},
       config::Fields{{"zone", "a"}, {"url", "u"}, {"model", "assistant"}}});
  for (std::size_t i = 0; i < workspaces; ++i) {
    change.updates.push_back(
        {{"workspace", "workspace-" + std::to_string(i)},
         config::Fields{{"key_sha256", codec::Sha256Hex(std::to_string(i))},
                        {"models", "assistant@v1"}}});
  }
  double start = CpuSeconds();
  const std::string record = codec::EncodeConfigChange(change);
  const double encode = CpuSeconds() - start;
  start = CpuSeconds();
  const config::ConfigChange decoded = codec::DecodeConfigChange(record);
  const double decode = CpuSeconds() - start;
  start = CpuSeconds();
  config::ConfigFold fold;
  fold.Apply(1, decoded);
  const double folded = CpuSeconds() - start;
  start = CpuSeconds();
  const auto configuration = codec::Configuration::FromEntries(fold.Entries());
  const double check = CpuSeconds() - start;
  constexpr int kLookups = 1000;
  start = CpuSeconds();
  for (int i = 0; i < kLookups; ++i) {
    if (configuration.Authenticate("key " + std::to_string(i)) != nullptr) {
      std::printf("an unknown key was accepted\n");
    }
  }
  const double lookup = (CpuSeconds() - start) / kLookups;
  std::printf("%10zu %12zu %10.2f %10.2f %10.2f %10.2f %10.2f\n",
              configuration.workspaces.size(), record.size(), 1e3 * encode,
              1e3 * decode, 1e3 * folded, 1e3 * check, 1e6 * lookup);
}

}  // namespace

int main() {
  std::printf(" daemons  body bytes/s a daemon     processor %% a daemon\n");
  for (const std::size_t count : {2U, 8U, 32U, 104U, 208U}) {
    MeasureZone(count);
  }
  std::printf(
      "\nworkspaces  record bytes  encode ms  decode ms    fold ms   check "
      "ms  lookup us\n");
  for (const std::size_t count : {100U, 1000U, 10'000U, 23'000U}) {
    MeasureConfiguration(count);
  }
  return 0;
}
