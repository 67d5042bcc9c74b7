#ifndef JASMINEHATCH_REVIEW_TESTS_DAEMONS_H_
#define JASMINEHATCH_REVIEW_TESTS_DAEMONS_H_

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <memory>
#include <random>
#include <sstream>

#include "http.h"
#include "record.h"

namespace jasminehatch::review {

/// Fills in a template of settings as DEPLOY.md describes it, as far as
/// `deploy/forwarder.ini` needs it: values, and sections without lists.
inline std::string Render(std::string text,
                          const std::map<std::string, std::string>& values) {
  const auto value_of = [&](const std::string& name) {
    const auto found = values.find(name);
    return found == values.end() ? std::string() : found->second;
  };
  for (const bool present : {true, false}) {
    const std::string mark = present ? "{{#" : "{{^";
    for (std::size_t at = text.find(mark); at != std::string::npos;
         at = text.find(mark)) {
      const std::size_t name_end = text.find("}}", at);
      const std::string name = text.substr(at + 3, name_end - at - 3);
      const std::string end = "{{/" + name + "}}";
      const std::size_t close = text.find(end, name_end);
      const std::string value = value_of(name);
      const bool is_present = !value.empty() && value != "false";
      const std::string inside =
          text.substr(name_end + 2, close - name_end - 2);
      text.replace(at, close + end.size() - at,
                   is_present == present ? inside : std::string());
    }
  }
  for (std::size_t at = text.find("{{"); at != std::string::npos;
       at = text.find("{{")) {
    const std::size_t end = text.find("}}", at);
    text.replace(at, end + 2 - at, value_of(text.substr(at + 2, end - at - 2)));
  }
  return text;
}

/// @return the first value of a line `key = "value"` after a table's header
inline std::string ReadDeployValue(const std::string& key) {
  std::ifstream file("deploy/system.toml");
  std::string line;
  while (std::getline(file, line)) {
    if (line.starts_with(key + " = \"")) {
      const std::size_t begin = line.find('"') + 1;
      return line.substr(begin, line.find('"', begin) - begin);
    }
  }
  throw std::runtime_error("deploy/system.toml has no " + key);
}

inline int FreePort(const std::string& ip) {
  const int probe = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in address = ParseAddress(ip, 0);
  sockaddr_in bound{};
  socklen_t size = sizeof(bound);
  const bool free = bind(probe, reinterpret_cast<const sockaddr*>(&address),
                         sizeof(address)) == 0;
  getsockname(probe, reinterpret_cast<sockaddr*>(&bound), &size);
  close(probe);
  if (!free) {
    throw std::runtime_error("no free port on " + ip);
  }
  return ntohs(bound.sin_port);
}

/// @brief One machine with a process of the role in the deploy file.
class Daemon {
 public:
  Daemon(std::string name,
         const std::string& ip,
         const std::string& zone,
         const std::string& store,
         const std::string& folder,
         Record& record)
      : m_name(std::move(name)),
        m_front(ip + ":" + std::to_string(FreePort(ip))),
        m_ready(ip + ":" + std::to_string(FreePort(ip))),
        m_settings(folder + "/" + m_name + ".ini"),
        m_log(folder + "/" + m_name + ".log"),
        m_record(record) {
    std::ifstream source(ReadDeployValue("template"));
    std::stringstream text;
    text << source.rdbuf();
    // The bounds are those of the small deployments in SYSTEM.md.
    const std::map<std::string, std::string> values{
        {"nodeName", m_name},
        {"zone", zone},
        {"ip", ip},
        {"listenAddrs.front", m_front},
        {"listenAddrs.ready", m_ready},
        {"internalPorts.0", std::to_string(FreePort(ip))},
        {"limits.cpuShare", "0.25"},
        {"platform.address", store},
        {"bounds.graceS", "8"},
        {"bounds.revokeMs", "5000"},
        {"bounds.drainMs", "2000"},
        {"bounds.versionMs", "6000"},
        {"bounds.contactMs", "3000"},
        {"bounds.leaseMs", "3000"},
        {"bounds.requireFence", "true"},
        {"bounds.budgetRatio", "0.2"},
        {"bounds.budgetSlack", "52"},
        {"bounds.budgetWindowS", "10"}};
    std::ofstream(m_settings) << Render(text.str(), values);
  }
  ~Daemon() { Kill(); }
  Daemon(const Daemon&) = delete;
  Daemon& operator=(const Daemon&) = delete;

  const std::string& Name() const { return m_name; }
  const std::string& Front() const { return m_front; }

  void Start() {
    const std::string program = ReadDeployValue("run");
    m_process = fork();
    if (m_process == 0) {
      // Ends with the test, also if that is killed.
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      const int log =
          open(m_log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
      dup2(log, STDOUT_FILENO);
      dup2(log, STDERR_FILENO);
      const std::string settings = "JASMINEHATCH_NODE_FILE=" + m_settings;
      const std::string path = std::string("PATH=") + std::getenv("PATH");
      char* const arguments[] = {const_cast<char*>(program.c_str()), nullptr};
      char* const environment[] = {const_cast<char*>(settings.c_str()),
                                   const_cast<char*>(path.c_str()), nullptr};
      execve(program.c_str(), arguments, environment);
      _exit(127);
    }
    m_started_at = Clock::now();
    m_record.Line(m_name + " started");
  }

  void Kill() { Stop(SIGKILL); }

  /// Sends a signal that ends the process and waits for its end.
  void Stop(int signal) {
    if (m_process <= 0) {
      return;
    }
    kill(m_process, signal);
    int status = 0;
    waitpid(m_process, &status, 0);
    m_process = -1;
    m_record.Line(m_name + " ended after signal " + std::to_string(signal));
  }

  /// @return whether the process still runs
  bool IsRunning() const {
    return m_process > 0 && waitpid(m_process, nullptr, WNOHANG) == 0;
  }

  bool IsReady() const {
    const auto response = Call(
        m_ready, "GET /readyz HTTP/1.1\r\nHost: ready\r\n\r\n", kReadyTime);
    return response && response->Status() == 200;
  }

  Clock::time_point StartedAt() const { return m_started_at; }

 private:
  static constexpr milliseconds kReadyTime{500};

  std::string m_name;
  std::string m_front;
  std::string m_ready;
  std::string m_settings;
  std::string m_log;
  Record& m_record;
  pid_t m_process = -1;
  Clock::time_point m_started_at{};
};

/// @return a prefix of loopback addresses that other runs hardly use
inline std::string LoopbackPrefix() {
  std::random_device random;
  return "127." + std::to_string(10 + random() % 200) + "." +
         std::to_string(random() % 250) + ".";
}

/// Waits until all daemons are ready.
inline bool WaitUntilReady(const std::vector<std::unique_ptr<Daemon>>& daemons,
                           milliseconds limit) {
  const auto until = Clock::now() + limit;
  while (Clock::now() < until) {
    if (std::all_of(daemons.begin(), daemons.end(),
                    [](const auto& daemon) { return daemon->IsReady(); })) {
      return true;
    }
    std::this_thread::sleep_for(milliseconds(100));
  }
  return false;
}

/// @brief A folder that is removed at the end.
class TemporaryFolder {
 public:
  TemporaryFolder() {
    std::string pattern =
        std::filesystem::temp_directory_path().string() + "/review.XXXXXX";
    if (mkdtemp(pattern.data()) == nullptr) {
      throw std::runtime_error("no temporary folder");
    }
    m_path = pattern;
  }
  ~TemporaryFolder() {
    std::error_code ignored;
    std::filesystem::remove_all(m_path, ignored);
  }
  TemporaryFolder(const TemporaryFolder&) = delete;
  TemporaryFolder& operator=(const TemporaryFolder&) = delete;

  const std::string& Path() const { return m_path; }

 private:
  std::string m_path;
};

}  // namespace jasminehatch::review

#endif  // JASMINEHATCH_REVIEW_TESTS_DAEMONS_H_
