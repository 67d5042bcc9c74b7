#ifndef JASMINEHATCH_DETAIL_RELAY_READER_RANKING_H_
#define JASMINEHATCH_DETAIL_RELAY_READER_RANKING_H_

#include <span>
#include <string>
#include <string_view>

namespace jasminehatch::relay {

/// @brief A daemon that could read a feed for its zone.
struct ReaderCandidate {
  std::string name;
  /// Relative processing capacity of its VM.
  double capacity = 1;
};

/// @brief Chooses the daemon that reads a feed for its zone.
///
/// All daemons that know the same candidates choose the same one. Only those
/// with the largest capacity are chosen; feeds are spread over them by
/// rendezvous hashing, so that the loss of a daemon moves only its own feeds.
/// @param candidates must not be empty
/// @return the chosen element of `candidates`
const ReaderCandidate& ChooseReader(
    std::string_view feed,
    std::span<const ReaderCandidate> candidates);

}  // namespace jasminehatch::relay

#endif  // JASMINEHATCH_DETAIL_RELAY_READER_RANKING_H_
