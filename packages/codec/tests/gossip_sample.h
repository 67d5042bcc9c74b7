#ifndef JASMINEHATCH_CODEC_TESTS_GOSSIP_SAMPLE_H_
#define JASMINEHATCH_CODEC_TESTS_GOSSIP_SAMPLE_H_

namespace jasminehatch::codec {
struct GossipMessage;
}

namespace jasminehatch::codec::test {

/// @return a gossip message with a value in each field that builds up to
/// aa87f97 know
GossipMessage MakeSampleGossip();

}  // namespace jasminehatch::codec::test

#endif  // JASMINEHATCH_CODEC_TESTS_GOSSIP_SAMPLE_H_
