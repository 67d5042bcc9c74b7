#ifndef JASMINEHATCH_DETAIL_LEASE_UPSTREAM_STATE_H_
#define JASMINEHATCH_DETAIL_LEASE_UPSTREAM_STATE_H_

#include <compare>
#include <string>

namespace jasminehatch::lease {

/// @brief Desired or reported state of an upstream.
struct UpstreamState {
  std::string model;  ///< Loaded model version; empty for none.
  std::string role;
  bool drained = false;

  friend auto operator<=>(const UpstreamState&, const UpstreamState&) = default;
};

}  // namespace jasminehatch::lease

#endif  // JASMINEHATCH_DETAIL_LEASE_UPSTREAM_STATE_H_
