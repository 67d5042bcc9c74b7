#ifndef REVIEW_ROUND_2_TESTS_DAEMONS_H_
#define REVIEW_ROUND_2_TESTS_DAEMONS_H_

// Daemons as processes, started with the command of the deploy file, and the
// record of a run.

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <exception>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <memory>
#include <mutex>
#include <string>
#include <system_error>
#include <utility>
#include <vector>

#include "net.h"

namespace review {

/// @brief The file in which a run tells what was sent, answered and run.
class Record {
 public:
  explicit Record(const std::string& file) : m_file(file) {}

  void Write(const std::string& line) {
    const std::scoped_lock lock(m_mutex);
    const auto at =
        std::chrono::duration_cast<Milliseconds>(Clock::now() - m_started)
            .count();
    m_file << at << " ms  " << line << std::endl;
  }

 private:
  std::mutex m_mutex;
  std::ofstream m_file;
  Time m_started = Clock::now();
};

/// @brief One daemon on an entry VM of its own, as far as settings go.
class Daemon {
 public:
  Daemon(std::string name,
         std::string zone,
         const std::string& store,
         std::string folder,
         int memory_mb)
      : m_name(std::move(name)), m_folder(std::move(folder)) {
    std::ofstream file(Settings());
    file << "[forwarder]\n"
         << "name = " << m_name << "\nzone = " << zone
         << "\naddress = 127.0.0.1:" << m_front
         << "\nready_address = 127.0.0.1:" << m_ready
         << "\nmetrics_address = 127.0.0.1:" << m_metrics
         << "\npeer_address = 127.0.0.1:" << FreePort()
         << "\ncapacity = 0.25\nmemory = " << memory_mb
         << "MB\nstore_address = " << store
         << "\nstop_grace = 8s\nrevoke_limit = 5000ms\ndrain_limit = 2000ms\n"
         << "version_limit = 6000ms\ncontact_limit = 3000ms\n"
         << "lease_time = 3000ms\nupstreams_check_fences = yes\n"
         << "retry_ratio = 0.2\nretry_slack = 52\nretry_window = 10s\n"
         << "region = qc-est\nzone_regions = "
         << "levis:qc-est,rimouski:qc-est,saguenay:qc-est\n";
  }
  ~Daemon() { Kill(); }
  Daemon(const Daemon&) = delete;
  Daemon& operator=(const Daemon&) = delete;

  const std::string& Name() const { return m_name; }
  std::uint16_t Port() const { return m_front; }

  /// Starts the program of the deploy file with the descriptors of a small VM.
  void Start() {
    const std::string settings = Settings();
    const std::string log = m_folder + "/" + m_name + ".log";
    m_pid = fork();
    if (m_pid < 0) {
      throw CannotRun("cannot start a process");
    }
    if (m_pid == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      const rlimit descriptors{4100, 4100};
      setrlimit(RLIMIT_NOFILE, &descriptors);
      const int output =
          open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
      dup2(output, STDOUT_FILENO);
      dup2(output, STDERR_FILENO);
      setenv("JASMINEHATCH_NODE_FILE", settings.c_str(), 1);
      const char* program = "target/bin/jasminehatchd";
      execl(program, program, nullptr);
      _exit(127);
    }
  }

  void Signal(int number) const {
    if (m_pid > 0) {
      kill(m_pid, number);
    }
  }

  void Kill() {
    if (m_pid > 0) {
      kill(m_pid, SIGKILL);
      waitpid(m_pid, nullptr, 0);
      m_pid = -1;
    }
  }

  /// @return the resident memory of the process without that of its program
  /// file and libraries, in bytes
  std::uint64_t MemoryBytes() const {
    std::ifstream file("/proc/" + std::to_string(m_pid) + "/statm");
    std::uint64_t total = 0;
    std::uint64_t resident = 0;
    std::uint64_t of_files = 0;
    file >> total >> resident >> of_files;
    return (resident - of_files) *
           static_cast<std::uint64_t>(sysconf(_SC_PAGESIZE));
  }

  /// @return whether the process has ended by itself
  bool HasEnded() {
    if (m_pid > 0 && waitpid(m_pid, nullptr, WNOHANG) == m_pid) {
      m_pid = -1;
      return true;
    }
    return m_pid <= 0;
  }

  /// @return whether the platform's load balancer would use it
  bool IsReady() const {
    return Call(m_ready, "GET /readyz HTTP/1.1\r\nHost: ready\r\n\r\n", 500)
               .status == 200;
  }

  void AwaitReady() {
    const Time until = Clock::now() + std::chrono::seconds(15);
    while (!IsReady()) {
      if (Clock::now() > until || HasEnded()) {
        throw CannotRun("daemon " + m_name + " does not get ready");
      }
      Sleep(50);
    }
  }

 private:
  std::string Settings() const { return m_folder + "/" + m_name + ".ini"; }

  std::string m_name;
  std::string m_folder;
  std::uint16_t m_front = FreePort();
  std::uint16_t m_ready = FreePort();
  std::uint16_t m_metrics = FreePort();
  pid_t m_pid = -1;
};

/// @brief A temporary folder for settings and logs.
class Folder {
 public:
  Folder() {
    std::string name =
        (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
    if (mkdtemp(name.data()) == nullptr) {
      throw CannotRun("no temporary folder");
    }
    m_name = name;
  }
  ~Folder() {
    std::error_code ignored;
    std::filesystem::remove_all(m_name, ignored);
  }
  Folder(const Folder&) = delete;
  Folder& operator=(const Folder&) = delete;

  const std::string& Name() const { return m_name; }

 private:
  std::string m_name;
};

/// @brief The six daemons of a small deployment, two in each zone.
class Fleet {
 public:
  explicit Fleet(const std::string& store, int memory_mb = 260) {
    static const std::vector<std::string> kZones{"levis", "rimouski",
                                                 "saguenay"};
    for (const char* number : {"1", "2"}) {
      for (const std::string& zone : kZones) {
        m_daemons.push_back(
            std::make_unique<Daemon>("edge-" + zone + "-" + number, zone, store,
                                     m_folder.Name(), memory_mb));
        m_daemons.back()->Start();
      }
    }
    for (const auto& daemon : m_daemons) {
      daemon->AwaitReady();
    }
  }

  std::size_t Size() const { return m_daemons.size(); }
  Daemon& operator[](std::size_t i) { return *m_daemons[i]; }
  const std::vector<std::unique_ptr<Daemon>>& All() const { return m_daemons; }

 private:
  Folder m_folder;
  std::vector<std::unique_ptr<Daemon>> m_daemons;
};

/// Runs a case and turns a failure to run it into the exit status 2.
template <typename Case>
int RunCase(int argc, char** argv) {
  Record record(argc > 1 ? argv[1] : "record.txt");
  int result = 2;
  try {
    result = Case(record).Run();
  } catch (const std::exception& error) {
    record.Write(error.what());
  }
  record.Write("exit status " + std::to_string(result));
  return result;
}

/// @return whether the case runs with its disruption
inline bool HasTrouble() {
  const char* value = std::getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

}  // namespace review

#endif  // REVIEW_ROUND_2_TESTS_DAEMONS_H_
