#ifndef JASMINEHATCH_DETAIL_BASE_EXCEPTION_H_
#define JASMINEHATCH_DETAIL_BASE_EXCEPTION_H_

#include <stdexcept>
#include <string>
#include <string_view>

namespace jasminehatch {

/// @brief Base of all exceptions of this project.
///
/// The message has the form `[jasminehatch.<kind>.<number>] <cause>`. Numbers
/// are stable: 1xx settings, 2xx codecs, 3xx transport, 4xx state.
class Exception : public std::runtime_error {
 public:
  /// @return the stable number of the error
  int Number() const noexcept { return m_number; }

 protected:
  Exception(std::string_view kind, int number, std::string_view cause)
      : std::runtime_error("[jasminehatch." + std::string(kind) + "." +
                           std::to_string(number) + "] " + std::string(cause)),
        m_number(number) {}

 private:
  int m_number;
};

/// A settings file or flag that is not acceptable.
class SettingsError : public Exception {
 public:
  SettingsError(int number, std::string_view cause)
      : Exception("settings", number, cause) {}
};

/// Input from outside that cannot be decoded.
class CodecError : public Exception {
 public:
  CodecError(int number, std::string_view cause)
      : Exception("codec", number, cause) {}
};

/// A socket, server or client that cannot be set up.
class TransportError : public Exception {
 public:
  TransportError(int number, std::string_view cause)
      : Exception("transport", number, cause) {}
};

/// A call that the current state does not allow.
class StateError : public Exception {
 public:
  StateError(int number, std::string_view cause)
      : Exception("state", number, cause) {}
};

}  // namespace jasminehatch

#endif  // JASMINEHATCH_DETAIL_BASE_EXCEPTION_H_
