#ifndef JASMINEHATCH_DETAIL_TESTING_FAKE_UPSTREAMS_H_
#define JASMINEHATCH_DETAIL_TESTING_FAKE_UPSTREAMS_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "jasminehatch/detail/routing/warm_up_spec.h"
#include "jasminehatch/detail/testing/serving_command.h"
#include "jasminehatch/detail/testing/serving_session.h"

namespace jasminehatch::testing {

/// @brief Upstreams that handle attempts as random commands direct.
///
/// Three engines with two slots each hold one of two weight versions, and two
/// upstreams serve a plain service.
class FakeUpstreams {
 public:
  explicit FakeUpstreams(ServingSession& session,
                         const std::optional<WarmUpSpec>& warm_up = {});

  void Run(const ServingCommand& command);

 private:
  struct Upstream {
    serving::UpstreamSpec spec;
    std::string loaded_version;  ///< Weight version; empty for a plain service.
    std::uint64_t incarnation = 1;
    std::uint64_t cache_sequence = 0;
    bool configured = true;
  };
  using Running = std::pair<AttemptId, ServingChecker::Attempt>;

  void Arrive(const ServingCommand& command);
  void Chunk(const ServingCommand& command);
  void WrongChunk(const ServingCommand& command);
  void End(const ServingCommand& command);
  void Cancel(const ServingCommand& command);
  void Report(const ServingCommand& command);
  void Unreachable(const ServingCommand& command);
  void Restart(const ServingCommand& command);
  void Leave(const ServingCommand& command);
  void Configure(const ServingCommand& command);
  void Cache(const ServingCommand& command);
  void ReceiveQuarantine(const ServingCommand& command);
  void Advance(const ServingCommand& command);

  UpstreamId PickEngine(std::uint8_t number) const;
  std::optional<Running> PickRunning(std::uint8_t number) const;
  std::uint32_t NextPosition(const Running& running) const;
  void SendConfiguration();

  ServingSession& m_session;
  std::vector<Upstream> m_upstreams;
  std::vector<Running> m_past_attempts;
  std::uint64_t m_next_request = 1;
};

}  // namespace jasminehatch::testing

#endif  // JASMINEHATCH_DETAIL_TESTING_FAKE_UPSTREAMS_H_
