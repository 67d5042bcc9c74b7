#ifndef JASMINEHATCH_DETAIL_TESTING_GOLDEN_FILE_H_
#define JASMINEHATCH_DETAIL_TESTING_GOLDEN_FILE_H_

#include <string>
#include <string_view>

namespace jasminehatch::testing {

/// @brief Compares text with a golden file.
///
/// With the environment variable `JASMINEHATCH_UPDATE_GOLDEN=1` the file is
/// rewritten instead.
/// @param folder folder of the golden files, usually `JASMINEHATCH_TEST_DATA`
/// @param name file name without folder
/// @return an empty string when equal, else a description of the first
/// difference for the test's message
std::string CompareWithGolden(std::string_view folder,
                              std::string_view name,
                              std::string_view text);

}  // namespace jasminehatch::testing

#endif  // JASMINEHATCH_DETAIL_TESTING_GOLDEN_FILE_H_
