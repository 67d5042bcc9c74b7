#include "jasminehatch/detail/hash/sha256.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>

#include <algorithm>
#include <memory>

#include "jasminehatch/detail/base/exception.h"

namespace jasminehatch::codec {
namespace {

using Sha256Bytes = std::array<std::uint8_t, 32>;

struct ContextDeleter {
  void operator()(EVP_MD_CTX* context) const { EVP_MD_CTX_free(context); }
};

/// Incremental SHA-256.
class Sha256 {
 public:
  Sha256() : m_context(EVP_MD_CTX_new()) {
    EVP_DigestInit_ex(m_context.get(), EVP_sha256(), nullptr);
  }

  void Update(std::string_view data) {
    EVP_DigestUpdate(m_context.get(), data.data(), data.size());
  }

  Sha256Bytes Finish() {
    Sha256Bytes bytes{};
    EVP_DigestFinal_ex(m_context.get(), bytes.data(), nullptr);
    return bytes;
  }

 private:
  std::unique_ptr<EVP_MD_CTX, ContextDeleter> m_context;
};

int HexValue(char c) {
  if (c >= '0' && c <= '9') {
    return c - '0';
  }
  if (c >= 'a' && c <= 'f') {
    return c - 'a' + 10;
  }
  return -1;
}

}  // namespace

std::string Sha256Hex(std::string_view data) {
  static constexpr char kDigits[] = "0123456789abcdef";
  Sha256 hash;
  hash.Update(data);
  std::string text;
  for (const std::uint8_t byte : hash.Finish()) {
    text.push_back(kDigits[byte >> 4U]);
    text.push_back(kDigits[byte & 0x0FU]);
  }
  return text;
}

Digest ComputeDigest(std::initializer_list<std::string_view> parts) {
  Sha256 hash;
  for (const std::string_view part : parts) {
    std::array<char, 8> length{};
    for (std::size_t i = 0; i < length.size(); ++i) {
      length[i] = static_cast<char>((part.size() >> (8 * i)) & 0xFFU);
    }
    hash.Update({length.data(), length.size()});
    hash.Update(part);
  }
  const Sha256Bytes bytes = hash.Finish();
  Digest digest;
  std::copy_n(bytes.begin(), digest.bytes.size(), digest.bytes.begin());
  return digest;
}

bool EqualInConstantTime(std::string_view left, std::string_view right) {
  return left.size() == right.size() &&
         CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

Digest ParseDigest(std::string_view hex) {
  Digest digest;
  if (hex.size() != digest.bytes.size() * 2) {
    throw CodecError(201, "a digest has 32 hexadecimal digits, not " +
                              std::to_string(hex.size()));
  }
  for (std::size_t i = 0; i < digest.bytes.size(); ++i) {
    const int high = HexValue(hex[2 * i]);
    const int low = HexValue(hex[2 * i + 1]);
    if (high < 0 || low < 0) {
      throw CodecError(201, "a digest has lower-case hexadecimal digits only");
    }
    digest.bytes[i] = static_cast<std::uint8_t>(high * 16 + low);
  }
  return digest;
}

}  // namespace jasminehatch::codec
