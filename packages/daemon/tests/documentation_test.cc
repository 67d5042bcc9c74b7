#include <jasminehatch/codec.h>

#include <fstream>
#include <iterator>
#include <string>

#include <CppUTest/TestHarness.h>

using namespace jasminehatch;

namespace {

std::string ReadOperationsPage() {
  std::ifstream stream(JASMINEHATCH_SOURCE_DIR "/docs/OPERATIONS.md");
  return {std::istreambuf_iterator<char>(stream),
          std::istreambuf_iterator<char>()};
}

}  // namespace

TEST_GROUP(Documentation){};

// Guards against a refusal that is missing from the operators' page or has
// another number or status there.
TEST(Documentation, OperationsPageHasEachRefusal) {
  const std::string page = ReadOperationsPage();
  for (std::size_t i = 0; i < kRefusalCodeCount; ++i) {
    const RefusalInfo& info = Describe(static_cast<RefusalCode>(i));
    const std::string row = "| `" + std::string(info.name) + "` | " +
                            std::to_string(info.number) + " | " +
                            std::to_string(info.http_status) + " |";
    CHECK_TEXT(page.find(row) != std::string::npos, row.c_str());
  }
}

// Guards against a counter that the operators' page does not explain.
TEST(Documentation, OperationsPageHasEachCounter) {
  const std::string page = ReadOperationsPage();
  for (std::size_t i = 0; i < kCounterCount; ++i) {
    const std::string name =
        "`" + std::string(ToString(static_cast<Counter>(i))) + "`";
    CHECK_TEXT(page.find(name) != std::string::npos, name.c_str());
  }
}

// Guards against settings that differ from the operators' page;
// scripts/update-docs writes its table.
TEST(Documentation, OperationsPageHasTheTableOfSettings) {
  const std::string page = ReadOperationsPage();
  CHECK(page.find(codec::DaemonSettings::Documentation()) != std::string::npos);
  CHECK(page.find(codec::ForwarderSettings::Documentation()) !=
        std::string::npos);
}
