#ifndef JASMINEHATCH_DETAIL_JSON_PEER_MESSAGE_H_
#define JASMINEHATCH_DETAIL_JSON_PEER_MESSAGE_H_

#include <string>
#include <string_view>
#include <vector>

#include "jasminehatch/detail/membership/message.h"

namespace jasminehatch::codec {

/// @return the message as a JSON object with short keys, since every probe and
/// its reply carries one
std::string EncodeMembershipMessage(const membership::Message& message);

/// @throw CodecError 250 when the text is not a membership message
membership::Message DecodeMembershipMessage(std::string_view text);

/// @return a JSON-RPC 2.0 request
/// @param params a JSON object
std::string EncodeRpcCall(std::string_view method, std::string_view params);

/// @return the result of a JSON-RPC 2.0 response, as JSON
/// @throw CodecError 251 when the text is not a response or holds an error
std::string DecodeRpcResult(std::string_view text);

/// @brief An entry of the platform's VM list.
struct ListedVm {
  std::string name;
  std::string url;
  bool leaving = false;
};

/// @throw CodecError 252 when the text is not a VM list
std::vector<ListedVm> ParseVmList(std::string_view text);

}  // namespace jasminehatch::codec

#endif  // JASMINEHATCH_DETAIL_JSON_PEER_MESSAGE_H_
