#ifndef JASMINEHATCH_DETAIL_TESTING_PROCESS_H_
#define JASMINEHATCH_DETAIL_TESTING_PROCESS_H_

#include <sys/types.h>

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace jasminehatch::testing {

/// @brief A child process.
class Process {
 public:
  /// Starts a program that prints `listening on <port>` once it accepts
  /// requests.
  /// @param command the program and its arguments
  /// @param log_file receives the standard error of the process
  /// @throw std::runtime_error when its first line of output is not that line
  Process(std::vector<std::string> command, const std::string& log_file);

  /// Starts a program whose standard output and error go to a file.
  static std::unique_ptr<Process> Start(std::vector<std::string> command,
                                        const std::string& log_file);

  /// Kills the process if it still runs.
  ~Process();
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  std::uint16_t Port() const { return m_port; }
  std::string Url() const;

  void Signal(int signal) const;

  /// Kills the process and waits for its end.
  void Kill();

  /// @return whether the process has exited; it is reaped then
  bool HasExited();

  pid_t Id() const { return m_pid; }

 private:
  Process() = default;

  /// @param output descriptor for the standard output; -1 for the log file
  void Launch(std::vector<std::string>& command,
              const std::string& log_file,
              int output);

  pid_t m_pid = -1;
  std::uint16_t m_port = 0;
};

}  // namespace jasminehatch::testing

#endif  // JASMINEHATCH_DETAIL_TESTING_PROCESS_H_
