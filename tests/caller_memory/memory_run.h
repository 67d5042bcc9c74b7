#ifndef JASMINEHATCH_TESTS_CALLER_MEMORY_MEMORY_RUN_H_
#define JASMINEHATCH_TESTS_CALLER_MEMORY_MEMORY_RUN_H_

#include <jasminehatch/net.h>

#include <asio/io_context.hpp>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <span>
#include <string>
#include <string_view>

#include "caller_crowd.h"
#include "tested_daemon.h"

namespace jasminehatch::test {

/// @brief Starts a daemon, lets a crowd take its memory, and checks the daemon.
class MemoryRun {
 public:
  struct Options {
    std::string bin_dir;
    std::string folder;  ///< For settings and logs.
    bool gateway = false;
    bool set_memory = true;  ///< Write the setting `memory`.
    std::size_t clients = 0;
    std::size_t memory_bytes = 0;  ///< Bound, and the setting.
  };

  explicit MemoryRun(Options options);

  /// @return whether every check held; prints violations and the peak
  bool Run(std::string_view name, std::span<const CrowdKind> kinds);

 private:
  void Check(bool condition, std::string_view rule);
  template <typename Condition>
  bool RunUntil(Condition condition);
  /// @return the status of the response; 0 if there is none
  int Call(net::StreamCall call);
  /// @return whether no received bytes wait in the kernel for the daemon
  bool HasReadAll();
  std::string ProcFolder();
  std::size_t CountDescriptors();
  /// @return the largest resident memory of the daemon so far, in bytes; 0 if
  /// it has exited
  std::uint64_t PeakBytes();

  Options m_options;
  asio::io_context m_loop{1};
  net::StreamClient m_client{m_loop, {}};
  std::unique_ptr<TestedDaemon> m_daemon;
  bool m_ok = true;
};

}  // namespace jasminehatch::test

#endif  // JASMINEHATCH_TESTS_CALLER_MEMORY_MEMORY_RUN_H_
