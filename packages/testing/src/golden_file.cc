#include "jasminehatch/detail/testing/golden_file.h"

#include <algorithm>
#include <cstdlib>
#include <fstream>
#include <iterator>

namespace jasminehatch::testing {
namespace {

std::string_view LineAt(std::string_view text, std::size_t begin) {
  return text.substr(begin,
                     std::min(text.find('\n', begin), text.size()) - begin);
}

}  // namespace

std::string CompareWithGolden(std::string_view folder,
                              std::string_view name,
                              std::string_view text) {
  const std::string path = std::string(folder) + "/" + std::string(name);
  const char* update = std::getenv("JASMINEHATCH_UPDATE_GOLDEN");
  if (update != nullptr && std::string_view(update) == "1") {
    std::ofstream(path, std::ios::binary) << text;
    return "";
  }
  std::ifstream stream(path, std::ios::binary);
  if (!stream) {
    return path +
           " is missing; run the test with JASMINEHATCH_UPDATE_GOLDEN=1 to "
           "write it";
  }
  const std::string golden{std::istreambuf_iterator<char>(stream),
                           std::istreambuf_iterator<char>()};
  if (golden == text) {
    return "";
  }
  const auto difference =
      std::mismatch(golden.begin(), golden.end(), text.begin(), text.end());
  const auto offset =
      static_cast<std::size_t>(difference.first - golden.begin());
  const auto line = std::count(golden.begin(), difference.first, '\n') + 1;
  const std::size_t begin =
      offset == 0 ? 0 : golden.rfind('\n', offset - 1) + 1;
  return path + ":" + std::to_string(line) +
         ":\n  expected: " + std::string(LineAt(golden, begin)) +
         "\n  actual:   " +
         std::string(begin <= text.size() ? LineAt(text, begin) : "<end>");
}

}  // namespace jasminehatch::testing
