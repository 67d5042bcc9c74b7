#include "jasminehatch/detail/http/http_message.h"

#include <algorithm>
#include <cctype>

namespace jasminehatch::net {
namespace {

bool EqualsIgnoringCase(std::string_view left, std::string_view right) {
  return std::equal(left.begin(), left.end(), right.begin(), right.end(),
                    [](unsigned char a, unsigned char b) {
                      return std::tolower(a) == std::tolower(b);
                    });
}

}  // namespace

std::string_view FindHeader(const HttpHeaders& headers, std::string_view name) {
  const auto header = std::find_if(
      headers.begin(), headers.end(), [name](const HttpHeader& candidate) {
        return EqualsIgnoringCase(candidate.name, name);
      });
  return header == headers.end() ? std::string_view{}
                                 : std::string_view(header->value);
}

std::size_t CountHeader(const HttpHeaders& headers, std::string_view name) {
  return static_cast<std::size_t>(std::count_if(
      headers.begin(), headers.end(), [name](const HttpHeader& candidate) {
        return EqualsIgnoringCase(candidate.name, name);
      }));
}

std::string_view FindQueryParameter(std::string_view query,
                                    std::string_view name) {
  while (!query.empty()) {
    const std::size_t end = std::min(query.find('&'), query.size());
    const std::string_view pair = query.substr(0, end);
    const std::size_t equals = pair.find('=');
    if (equals != std::string_view::npos && pair.substr(0, equals) == name) {
      return pair.substr(equals + 1);
    }
    query.remove_prefix(std::min(end + 1, query.size()));
  }
  return {};
}

}  // namespace jasminehatch::net
