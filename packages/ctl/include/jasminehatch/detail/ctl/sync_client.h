#ifndef JASMINEHATCH_DETAIL_CTL_SYNC_CLIENT_H_
#define JASMINEHATCH_DETAIL_CTL_SYNC_CLIENT_H_

#include <memory>

#include "jasminehatch/detail/http/http_client.h"

namespace jasminehatch::ctl {

/// @brief Blocking HTTP calls for command-line programs.
class SyncClient {
 public:
  SyncClient();
  ~SyncClient();
  SyncClient(const SyncClient&) = delete;
  SyncClient& operator=(const SyncClient&) = delete;

  /// Runs one call to its end.
  net::HttpResult Call(net::HttpCall call,
                       net::HttpClient::DataCallback on_data = {});

 private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace jasminehatch::ctl

#endif  // JASMINEHATCH_DETAIL_CTL_SYNC_CLIENT_H_
