#ifndef JASMINEHATCH_DETAIL_HTTP_HTTP_MESSAGE_H_
#define JASMINEHATCH_DETAIL_HTTP_HTTP_MESSAGE_H_

#include <string>
#include <string_view>
#include <vector>

namespace jasminehatch::net {

/// @brief One header field.
struct HttpHeader {
  std::string name;
  std::string value;
};

using HttpHeaders = std::vector<HttpHeader>;

/// @brief A request received by HttpServer.
struct HttpRequest {
  std::string method;
  std::string path;   ///< Without the query.
  std::string query;  ///< Without the question mark.
  HttpHeaders headers;
  std::string body;
};

/// @return the value of the first header with this name (case-insensitive), or
/// an empty view
std::string_view FindHeader(const HttpHeaders& headers, std::string_view name);

/// @return how often a header with this name (case-insensitive) occurs
std::size_t CountHeader(const HttpHeaders& headers, std::string_view name);

/// @return the value of a query parameter such as `from` in `from=3&limit=2`,
/// or an empty view
std::string_view FindQueryParameter(std::string_view query,
                                    std::string_view name);

}  // namespace jasminehatch::net

#endif  // JASMINEHATCH_DETAIL_HTTP_HTTP_MESSAGE_H_
