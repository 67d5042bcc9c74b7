#ifndef JASMINEHATCH_DETAIL_HTTP_HEADER_CHARACTERS_H_
#define JASMINEHATCH_DETAIL_HTTP_HEADER_CHARACTERS_H_

namespace jasminehatch::net {

/// @return whether the name of a header field may contain the character
bool IsHeaderNameCharacter(char c);

/// @return whether the value of a header field may contain the character: no
/// control characters other than tabs
bool IsHeaderValueCharacter(char c);

}  // namespace jasminehatch::net

#endif  // JASMINEHATCH_DETAIL_HTTP_HEADER_CHARACTERS_H_
