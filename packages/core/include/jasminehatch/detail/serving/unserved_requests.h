#ifndef JASMINEHATCH_DETAIL_SERVING_UNSERVED_REQUESTS_H_
#define JASMINEHATCH_DETAIL_SERVING_UNSERVED_REQUESTS_H_

#include <string>

namespace jasminehatch::serving {

class RequestTable;
struct Request;
struct StepContext;

/// @brief Finds and refuses requests that no configured upstream serves.
class UnservedRequests {
 public:
  UnservedRequests(StepContext& context, RequestTable& requests)
      : m_context(context), m_requests(requests) {}

  /// @return whether an upstream serves the request, or will once it is
  /// reachable and not paused
  bool IsServed(const Request& request) const;

  /// Refuses a request that no upstream serves, and says whether one does in an
  /// evacuated zone or another region; `request` is dangling afterwards.
  void Refuse(Request& request, std::string detail);

  /// Refuses the requests that wait for a weight version of the model that no
  /// configured upstream has any more.
  void RefuseWaiting(const std::string& model);

 private:
  StepContext& m_context;
  RequestTable& m_requests;
};

}  // namespace jasminehatch::serving

#endif  // JASMINEHATCH_DETAIL_SERVING_UNSERVED_REQUESTS_H_
