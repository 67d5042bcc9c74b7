// Responses that upstreams in trouble send and that are not HTTP, seen by both
// clients.

#include <jasminehatch/emulator.h>
#include <jasminehatch/net.h>

#include <array>
#include <asio/io_context.hpp>
#include <climits>
#include <memory>
#include <string>
#include <string_view>

#include "both_clients.h"
#include "jasminehatch/detail/http/header_characters.h"
#include "jasminehatch/detail/http/response_head_check.h"
#include "jasminehatch/detail/testing/leak_detector_off.h"

#include <CppUTest/TestHarness.h>

using namespace jasminehatch;
using namespace jasminehatch::net;
using namespace jasminehatch::net::test;
using emulator::ScriptedServer;

namespace {

/// The rest of a response after its status line.
constexpr std::string_view kRest = "\r\nContent-Length: 4\r\n\r\ndone";

/// First lines that do not begin with the version HTTP/1 and a status from 100
/// to 599.
constexpr std::array<std::string_view, 17> kOddStatusLines{
    "HTTP/1.1 000 ",    "HTTP/1.1 000",      "HTTP/1.1 0 No",
    "HTTP/1.1 20 OK",   "HTTP/1.1 099 Low",  "HTTP/1.1 0200 OK",
    "HTTP/1.1 2000 OK", "HTTP/1.1 600 High", "HTTP/1.1 999 High",
    "HTTP/1.1 -20 OK",  "HTTP/1.1 +20 OK",   "HTTP/1.1 2x0 OK",
    "HTTP/1.1  200 OK", "HTTP/1.1 OK",       "HTTP/2.0 200 OK",
    "HTTP/1.1 200OK",   "HTTP/11.1 200 OK"};

/// Lines of a head in which a parser may see other fields, or another end of
/// the head, than the next one.
constexpr std::array<std::string_view, 9> kAmbiguousLines{
    "Content-Length : 2",
    "Content-Length\t: 2",
    "Transfer-Encoding : chunked",
    " Content-Length: 2",
    "\tfolded",
    "\rX: 1",
    "X: 1\rContent-Length: 2",
    "X: \x01",
    "no colon"};

/// Checks that no client takes the bytes for a response.
void CheckNoResponse(const std::string& bytes) {
  asio::io_context loop;
  ScriptedServer server(loop, [&](const ScriptedServer::Request&) {
    return ScriptedServer::Reply{bytes, ScriptedServer::After::kClose};
  });
  for (const auto& client : MakeClients(loop)) {
    const Outcome outcome = Call(loop, *client, server.Address());
    CHECK_FALSE_TEXT(outcome.complete, bytes.c_str());
    CHECK_TRUE_TEXT(outcome.sent, bytes.c_str());
    STRCMP_EQUAL_TEXT("", outcome.body.c_str(), bytes.c_str());
  }
}

/// @return whether the check finds a fault in the bytes when they are received
/// in two parts
bool HasFault(std::string_view bytes, std::size_t split) {
  ResponseHeadCheck check;
  return !check.Feed(bytes.substr(0, split)).empty() ||
         !check.Feed(bytes.substr(split)).empty();
}

/// @return whether a fault is found, wherever the bytes are split
bool HasFault(std::string_view bytes) {
  const bool whole = HasFault(bytes, bytes.size());
  for (std::size_t split = 0; split < bytes.size(); ++split) {
    CHECK_EQUAL_TEXT(whole, HasFault(bytes, split), std::string(bytes).c_str());
  }
  return whole;
}

}  // namespace

TEST_GROUP_BASE(OddResponse, jasminehatch::testing::LeakDetectorOff){};

// Guards against a status such as 000 that reaches the caller.
TEST(OddResponse, AStatusOutsideHttpIsNoResponse) {
  for (const std::string_view line : kOddStatusLines) {
    const std::string bytes = std::string(line) + std::string(kRest);
    CheckNoResponse(bytes);
    CheckNoResponse("HTTP/1.1 100 Continue\r\n\r\n" + bytes);
    CHECK_TRUE_TEXT(HasFault(bytes), bytes.c_str());
  }
}

// Guards against the rejection of a status that is not in the registry.
TEST(OddResponse, EachStatusOfHttpIsAResponse) {
  asio::io_context loop;
  int status = 200;
  ScriptedServer server(loop, [&](const ScriptedServer::Request&) {
    return ScriptedServer::Reply{"HTTP/1.1 " + std::to_string(status) +
                                 "\r\nContent-Length: 0\r\n\r\n"};
  });
  const auto clients = MakeClients(loop);
  for (; status < 600; ++status) {
    for (const auto& client : clients) {
      const Outcome outcome = Call(loop, *client, server.Address());
      CHECK_TRUE_TEXT(outcome.complete, std::to_string(status).c_str());
      LONGS_EQUAL(status, outcome.status);
    }
  }
}

// Guards against a check that ends before the head of the final response.
TEST(OddResponse, TheHeadAfterInformationalOnesIsChecked) {
  const std::string informational = "HTTP/1.1 103 Early\r\nLink: x\r\n\r\n";
  const std::string whole = "HTTP/1.0 200 OK\r\nA: b\r\n\r\n";
  CHECK_FALSE(HasFault(informational + informational + whole + "HTTP/1.1 0"));
  CHECK_TRUE(HasFault(informational + informational + "HTTP/1.1 0"));
  ResponseHeadCheck check;
  check.Feed(informational);
  CHECK_FALSE(check.IsComplete());
  check.Feed(whole);
  CHECK_TRUE(check.IsComplete());
}

// Guards against a field with a blank or a control byte in its name that
// reaches the caller, or that makes another body of the response.
TEST(OddResponse, AFieldNameOutsideHttpIsNoResponse) {
  const std::string name = "Xab";
  for (std::size_t position = 0; position < name.size(); ++position) {
    for (int byte = 0; byte <= UCHAR_MAX; ++byte) {
      const char c = static_cast<char>(byte);
      const bool ends_name = position > 0 && c == ':';
      const bool ends_head = position == 0 && c == '\n';
      if (IsHeaderNameCharacter(c) || ends_name || ends_head) {
        continue;
      }
      std::string odd = name;
      odd.at(position) = c;
      CheckNoResponse("HTTP/1.1 200 OK\r\n" + odd + ": 1" + std::string(kRest));
    }
  }
}

// Guards against lines that parsers read in different ways.
TEST(OddResponse, AnAmbiguousLineIsNoResponse) {
  for (const std::string_view line : kAmbiguousLines) {
    const std::string bytes =
        "HTTP/1.1 200 OK\r\nA: b\r\n" + std::string(line) + std::string(kRest);
    CheckNoResponse(bytes);
    CHECK_TRUE_TEXT(HasFault(bytes), bytes.c_str());
  }
  CheckNoResponse("HTTP/1.1 200 OK\rA: b" + std::string(kRest));
}

// Guards against the rejection of unusual fields that HTTP allows.
TEST(OddResponse, EachFieldOfHttpIsAccepted) {
  asio::io_context loop;
  for (const std::string_view line :
       {"A:b", "A:", "A: \t b \t", "A: b\tc", "A: \x80\xff",
        "!#$%&'*+-.^_`|~09: odd", "A: b: c", "A:::"}) {
    const std::string bytes =
        "HTTP/1.1 200 \r\n" + std::string(line) + std::string(kRest);
    ScriptedServer server(loop, [&](const ScriptedServer::Request&) {
      return ScriptedServer::Reply{bytes};
    });
    for (const auto& client : MakeClients(loop)) {
      const Outcome outcome = Call(loop, *client, server.Address());
      CHECK_TRUE_TEXT(outcome.complete, bytes.c_str());
      STRCMP_EQUAL_TEXT("done", outcome.body.c_str(), bytes.c_str());
    }
    CHECK_FALSE_TEXT(HasFault(bytes), bytes.c_str());
  }
}
