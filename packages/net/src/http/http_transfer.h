#ifndef JASMINEHATCH_NET_SRC_HTTP_HTTP_TRANSFER_H_
#define JASMINEHATCH_NET_SRC_HTTP_HTTP_TRANSFER_H_

#include <curl/curl.h>

#include <cstddef>
#include <memory>
#include <string_view>

#include "jasminehatch/detail/http/http_client.h"
#include "jasminehatch/detail/http/response_head_check.h"

namespace jasminehatch::net {

/// @brief One call of the HTTP client: its request in libcurl's terms, and what
/// was received of its response.
class HttpTransfer {
 public:
  HttpTransfer(HttpClient::CallId id,
               HttpCall call,
               HttpClient::DoneCallback on_done,
               HttpClient::DataCallback on_data);
  HttpTransfer(const HttpTransfer&) = delete;
  HttpTransfer& operator=(const HttpTransfer&) = delete;

  HttpClient::CallId Id() const { return m_id; }
  CURL* Easy() const { return m_easy.get(); }

  /// @return the transfer to which a handle of libcurl belongs
  static HttpTransfer& Of(CURL* easy);

  /// Suppresses all further callbacks of the call.
  void Cancel() { m_cancelled = true; }

  /// Records how libcurl ended the transfer.
  void SetEnd(CURLcode code);

  /// Passes the result to the caller, unless the call was cancelled.
  void Deliver();

 private:
  struct EasyDeleter {
    void operator()(CURL* easy) const { curl_easy_cleanup(easy); }
  };
  struct ListDeleter {
    void operator()(curl_slist* list) const { curl_slist_free_all(list); }
  };

  void SetOptions();
  void SetHeaders();
  static std::size_t OnBody(char* data,
                            std::size_t size,
                            std::size_t length,
                            void* user);
  static std::size_t OnHeader(char* data,
                              std::size_t size,
                              std::size_t length,
                              void* user);
  /// @return whether a whole response was received. libcurl also reports
  /// success for one whose connection was closed in the middle of the head.
  bool IsComplete(CURLcode code) const;
  HttpResult::Kind ClassifyResult(CURLcode code) const;

  HttpClient::CallId m_id;
  HttpCall m_call;
  HttpClient::DoneCallback m_on_done;
  HttpClient::DataCallback m_on_data;
  std::unique_ptr<CURL, EasyDeleter> m_easy;
  std::unique_ptr<curl_slist, ListDeleter> m_headers;
  HttpResult m_result;
  std::size_t m_head_bytes = 0;  ///< With informational responses and trailers.
  ResponseHeadCheck m_head_check;
  /// Why the response was broken off; empty if it was not.
  std::string_view m_fault;
  bool m_cancelled = false;
};

}  // namespace jasminehatch::net

#endif  // JASMINEHATCH_NET_SRC_HTTP_HTTP_TRANSFER_H_
