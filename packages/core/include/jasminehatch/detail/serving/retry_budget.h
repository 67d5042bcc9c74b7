#ifndef JASMINEHATCH_DETAIL_SERVING_RETRY_BUDGET_H_
#define JASMINEHATCH_DETAIL_SERVING_RETRY_BUDGET_H_

#include <algorithm>

namespace jasminehatch::serving {

/// @brief Limits retries to a share of the first attempts plus a burst, so that
/// retries cannot multiply the load of an overloaded fleet.
class RetryBudget {
 public:
  /// @brief Records a first attempt, which earns `share` of a retry.
  void Earn(double share) { m_spent = std::max(0.0, m_spent - share); }

  /// @return false if the budget is exhausted
  bool TrySpend(double burst) {
    // The tolerance covers the rounding of repeated additions of the share.
    if (m_spent + 1 > burst + 1e-9) {
      return false;
    }
    m_spent += 1;
    return true;
  }

 private:
  double m_spent = 0;  ///< Retries not yet earned back.
};

}  // namespace jasminehatch::serving

#endif  // JASMINEHATCH_DETAIL_SERVING_RETRY_BUDGET_H_
