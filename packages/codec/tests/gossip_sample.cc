#include "gossip_sample.h"

#include <jasminehatch/codec.h>

#include <chrono>

namespace jasminehatch::codec::test {

GossipMessage MakeSampleGossip() {
  using namespace std::chrono_literals;
  GossipMessage message;
  message.daemon = "e1";
  message.address = "10.0.0.1:7700";
  message.zone = "a";
  message.incarnation = 5;
  message.sequence = 6;
  message.sent_ms = 7;
  message.echo_ms = 8;
  message.operator_end = {30, 9};
  message.echo_incarnation = 31;
  message.forwarding_address = "10.0.0.1:7701";
  message.configuration_version = 32;
  message.freshness_proof_age_ms = 10;
  message.loads = {{11, 12, 13}};
  message.capacity = 1.5;
  message.covers_zone = true;
  message.weights_updates = {{"u", "m", 14, true}};
  message.crash_reports = {{15, 16}, {15, 16, {17, 18}, 19, 20ms}};
  message.stopping = true;
  message.publications = {{"m", 17, 18ms, true}, {"n", 19, 20ms, false}};
  message.part_verdicts = {{21, 22, 23, 24ms, 25ms}};
  message.upstream_failures = {
      {"u", 26, forwarding::UpstreamFailure::kReplaced, 27ms, false},
      {"v", 28, forwarding::UpstreamFailure::kRefused, 29ms, true}};
  message.stream_origins = {{28, "s", "v1"}, {29, "s", "v1"}, {30, "s", "v2"}};
  return message;
}

}  // namespace jasminehatch::codec::test
