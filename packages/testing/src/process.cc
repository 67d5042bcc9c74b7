#include "jasminehatch/detail/testing/process.h"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <csignal>
#include <stdexcept>

namespace jasminehatch::testing {

void Process::Launch(std::vector<std::string>& command,
                     const std::string& log_file,
                     int output) {
  std::vector<char*> arguments;
  arguments.reserve(command.size() + 1);
  for (std::string& argument : command) {
    arguments.push_back(argument.data());
  }
  arguments.push_back(nullptr);
  // The child inherits the mask, so that SIGHUP does not end it before it
  // handles the signal, not even before `exec`.
  sigset_t held_back;
  sigset_t previous;
  sigemptyset(&held_back);
  sigaddset(&held_back, SIGHUP);
  pthread_sigmask(SIG_BLOCK, &held_back, &previous);
  m_pid = fork();
  if (m_pid != 0) {
    pthread_sigmask(SIG_SETMASK, &previous, nullptr);
  }
  if (m_pid == 0) {
    // Kills the child when the test process ends.
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int log = open(log_file.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    dup2(output < 0 ? log : output, STDOUT_FILENO);
    dup2(log, STDERR_FILENO);
    execv(arguments[0], arguments.data());
    _exit(127);
  }
}

Process::Process(std::vector<std::string> command,
                 const std::string& log_file) {
  std::array<int, 2> output{};
  if (pipe2(output.data(), O_CLOEXEC) != 0) {
    throw std::runtime_error("cannot create a pipe");
  }
  Launch(command, log_file, output[1]);
  close(output[1]);
  std::string line;
  char c = 0;
  while (read(output[0], &c, 1) == 1 && c != '\n') {
    line.push_back(c);
  }
  close(output[0]);
  static constexpr std::string_view kPrefix = "listening on ";
  if (line.compare(0, kPrefix.size(), kPrefix) != 0) {
    Kill();
    throw std::runtime_error(command[0] + " did not start; see " + log_file);
  }
  m_port = static_cast<std::uint16_t>(std::stoi(line.substr(kPrefix.size())));
}

std::unique_ptr<Process> Process::Start(std::vector<std::string> command,
                                        const std::string& log_file) {
  std::unique_ptr<Process> process(new Process());
  process->Launch(command, log_file, -1);
  return process;
}

bool Process::HasExited() {
  if (m_pid > 0 && waitpid(m_pid, nullptr, WNOHANG) == m_pid) {
    m_pid = -1;
  }
  return m_pid < 0;
}

Process::~Process() {
  Kill();
}

std::string Process::Url() const {
  return "http://127.0.0.1:" + std::to_string(m_port);
}

void Process::Signal(int signal) const {
  if (m_pid > 0) {
    kill(m_pid, signal);
  }
}

void Process::Kill() {
  if (m_pid > 0) {
    kill(m_pid, SIGKILL);
    waitpid(m_pid, nullptr, 0);
    m_pid = -1;
  }
}

}  // namespace jasminehatch::testing
