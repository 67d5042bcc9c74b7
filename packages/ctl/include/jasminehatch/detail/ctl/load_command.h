#ifndef JASMINEHATCH_DETAIL_CTL_LOAD_COMMAND_H_
#define JASMINEHATCH_DETAIL_CTL_LOAD_COMMAND_H_

#include <span>
#include <string>

namespace jasminehatch::ctl {

/// @brief Runs `jasminehatchctl load`.
/// @return kExitOk when every response was complete and correct; refusals are
/// allowed
int LoadCommand(std::span<const std::string> arguments);

}  // namespace jasminehatch::ctl

#endif  // JASMINEHATCH_DETAIL_CTL_LOAD_COMMAND_H_
