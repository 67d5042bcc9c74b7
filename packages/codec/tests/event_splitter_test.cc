#include <jasminehatch/codec.h>

#include <string>
#include <vector>

#include "jasminehatch/detail/testing/leak_detector_off.h"

#include <CppUTest/TestHarness.h>

using namespace jasminehatch::codec;

TEST_GROUP_BASE(EventSplitter, jasminehatch::testing::LeakDetectorOff){};

// Guards against events that are cut or merged at the boundaries of received
// buffers.
TEST(EventSplitter, AnyPartitionGivesTheSameEvents) {
  const std::string text =
      "id: 1\ndata: a\n\nx-v: 2\r\nid:2\r\ndata: b\r\n\r\ndata: c\n\nid: 4\nda";
  for (std::size_t first = 0; first <= text.size(); ++first) {
    for (std::size_t step = 1; step < 5; ++step) {
      EventSplitter splitter;
      std::string joined;
      std::vector<std::string> ids;
      const auto sink = [&](const EventSplitter::Event& event) {
        joined += std::string(event.bytes) + "|";
        ids.emplace_back(event.id);
      };
      splitter.Feed(std::string_view(text).substr(0, first), sink);
      for (std::size_t at = first; at < text.size(); at += step) {
        splitter.Feed(std::string_view(text).substr(at, step), sink);
      }
      STRCMP_EQUAL(
          "id: 1\ndata: a\n\n|x-v: 2\r\nid:2\r\ndata: b\r\n\r\n|data: c\n\n|",
          joined.c_str());
      UNSIGNED_LONGS_EQUAL(3, ids.size());
      STRCMP_EQUAL("1", ids[0].c_str());
      STRCMP_EQUAL("2", ids[1].c_str());
      STRCMP_EQUAL("", ids[2].c_str());
      UNSIGNED_LONGS_EQUAL(8, splitter.PendingBytes());
    }
  }
}

// Guards against an event that never ends and is kept without bound.
TEST(EventSplitter, AnEventWithoutAnEndIsRejected) {
  EventSplitter splitter;
  const std::string line(EventSplitter::kMaxEventBytes / 4, 'a');
  const auto ignore = [](const EventSplitter::Event&) {};
  for (int i = 0; i < 4; ++i) {
    splitter.Feed(line, ignore);
  }
  CHECK_THROWS(jasminehatch::CodecError, splitter.Feed("a", ignore));
}
