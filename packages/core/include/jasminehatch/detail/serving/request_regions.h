#ifndef JASMINEHATCH_DETAIL_SERVING_REQUEST_REGIONS_H_
#define JASMINEHATCH_DETAIL_SERVING_REQUEST_REGIONS_H_

namespace jasminehatch::serving {

class RequestTable;
class WaitingRequests;
struct Request;
struct StepContext;

/// @brief Keeps the regions that requests may use up to date with the
/// configuration.
class RequestRegions {
 public:
  RequestRegions(StepContext& context,
                 RequestTable& requests,
                 WaitingRequests& waiting)
      : m_context(context), m_requests(requests), m_waiting(waiting) {}

  /// Sets the regions of a new request.
  void OnAdmission(Request& request);

  /// Applies changed regions to the requests in progress. Running attempts go
  /// on; the next attempt obeys the regions.
  void OnResidencyChanged();

 private:
  void Update(Request& request);

  StepContext& m_context;
  RequestTable& m_requests;
  WaitingRequests& m_waiting;
};

}  // namespace jasminehatch::serving

#endif  // JASMINEHATCH_DETAIL_SERVING_REQUEST_REGIONS_H_
