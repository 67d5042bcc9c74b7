#ifndef REVIEW_ROUND_2_TESTS_NET_H_
#define REVIEW_ROUND_2_TESTS_NET_H_

// Blocking HTTP/1.1 on loopback addresses, for the stand-ins of the cases.

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cctype>
#include <chrono>
#include <cstdint>
#include <cstdlib>
#include <functional>
#include <mutex>
#include <random>
#include <set>
#include <stdexcept>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;
using Time = Clock::time_point;
using Milliseconds = std::chrono::milliseconds;

inline void Sleep(int milliseconds) {
  std::this_thread::sleep_for(Milliseconds(milliseconds));
}

/// @brief The case cannot run on this machine.
struct CannotRun : std::runtime_error {
  using std::runtime_error::runtime_error;
};

inline bool EqualsIgnoringCase(std::string_view left, std::string_view right) {
  return std::equal(left.begin(), left.end(), right.begin(), right.end(),
                    [](unsigned char a, unsigned char b) {
                      return std::tolower(a) == std::tolower(b);
                    });
}

/// @brief A request or a response.
struct Message {
  std::string start;  ///< Request line or status line.
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;

  std::string Header(std::string_view name) const {
    for (const auto& [key, value] : headers) {
      if (EqualsIgnoringCase(key, name)) {
        return value;
      }
    }
    return {};
  }
  /// @return the word of the first line at this place
  std::string Word(int place) const {
    std::size_t from = 0;
    for (; place > 0; --place) {
      from = start.find(' ', from);
      if (from == std::string::npos) {
        return {};
      }
      ++from;
    }
    return start.substr(from, start.find(' ', from) - from);
  }
  int Status() const { return std::atoi(Word(1).c_str()); }
};

inline sockaddr_in LoopbackAddress(std::uint16_t port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

/// @brief One TCP connection.
class Connection {
 public:
  explicit Connection(int fd) : m_fd(fd) {
    const int on = 1;
    setsockopt(m_fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  }
  ~Connection() { Close(); }
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  int Fd() const { return m_fd; }
  void Close() {
    if (m_fd >= 0) {
      close(std::exchange(m_fd, -1));
    }
  }
  /// Closes the connection with a reset.
  void Reset() {
    const linger now{1, 0};
    setsockopt(m_fd, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
    Close();
  }

  bool Write(std::string_view data) const {
    while (!data.empty()) {
      const ssize_t sent = send(m_fd, data.data(), data.size(), MSG_NOSIGNAL);
      if (sent <= 0) {
        return false;
      }
      data.remove_prefix(static_cast<std::size_t>(sent));
    }
    return true;
  }

  /// Reads more bytes into the buffer.
  /// @return whether some arrived before the time
  bool ReadMore(Time until) {
    const auto left =
        std::chrono::duration_cast<Milliseconds>(until - Clock::now()).count();
    pollfd waiting{m_fd, POLLIN, 0};
    if (left <= 0 || poll(&waiting, 1, static_cast<int>(left)) <= 0) {
      return false;
    }
    char bytes[16384];
    const ssize_t length = recv(m_fd, bytes, sizeof(bytes), 0);
    if (length <= 0) {
      m_ended = true;
      return false;
    }
    m_buffer.append(bytes, static_cast<std::size_t>(length));
    return true;
  }

  /// @return whether the peer has ended the connection
  bool Ended() const { return m_ended; }

  /// Reads a whole message with a length or chunks.
  bool ReadMessage(Message& message, Time until) {
    message = {};
    std::size_t end = 0;
    while ((end = m_buffer.find("\r\n\r\n")) == std::string::npos) {
      if (!ReadMore(until)) {
        return false;
      }
    }
    ParseHead(m_buffer.substr(0, end), message);
    m_buffer.erase(0, end + 4);
    if (message.Header("Transfer-Encoding") == "chunked") {
      return ReadChunks(message, until);
    }
    const auto length = static_cast<std::size_t>(
        std::strtoul(message.Header("Content-Length").c_str(), nullptr, 10));
    while (m_buffer.size() < length) {
      if (!ReadMore(until)) {
        message.body = std::exchange(m_buffer, {});
        return false;
      }
    }
    message.body = m_buffer.substr(0, length);
    m_buffer.erase(0, length);
    return true;
  }

 private:
  static void ParseHead(const std::string& head, Message& message) {
    std::size_t from = head.find("\r\n");
    message.start = head.substr(0, from);
    while (from != std::string::npos) {
      from += 2;
      const std::size_t end = head.find("\r\n", from);
      const std::string line = head.substr(from, end - from);
      const std::size_t colon = line.find(':');
      if (colon != std::string::npos) {
        std::size_t value = colon + 1;
        while (value < line.size() && line[value] == ' ') {
          ++value;
        }
        message.headers.emplace_back(line.substr(0, colon), line.substr(value));
      }
      from = end;
    }
  }

  bool ReadChunks(Message& message, Time until) {
    while (true) {
      const std::size_t line = m_buffer.find("\r\n");
      if (line != std::string::npos) {
        const auto size = static_cast<std::size_t>(
            std::strtoul(m_buffer.c_str(), nullptr, 16));
        if (m_buffer.size() >= line + 2 + size + 2) {
          message.body += m_buffer.substr(line + 2, size);
          m_buffer.erase(0, line + 2 + size + 2);
          if (size == 0) {
            return true;
          }
          continue;
        }
      }
      if (!ReadMore(until)) {
        return false;
      }
    }
  }

  int m_fd;
  bool m_ended = false;
  std::string m_buffer;
};

/// @return a descriptor connected to the port, or -1
inline int Connect(std::uint16_t port) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in address = LoopbackAddress(port);
  if (fd < 0 || connect(fd, reinterpret_cast<const sockaddr*>(&address),
                        sizeof(address)) != 0) {
    if (fd >= 0) {
      close(fd);
    }
    return -1;
  }
  return fd;
}

/// @return a listening descriptor, or -1 if the port is in use
inline int TryListen(std::uint16_t port) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  const sockaddr_in address = LoopbackAddress(port);
  if (fd >= 0 &&
      bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) ==
          0 &&
      listen(fd, 1024) == 0) {
    return fd;
  }
  if (fd >= 0) {
    close(fd);
  }
  return -1;
}

/// @return a port that was free just now, below those that the kernel gives to
/// connections
inline std::uint16_t FreePort() {
  constexpr int kLowest = 12000;
  constexpr int kHighest = 30000;
  static std::mt19937 random{std::random_device{}()};
  static std::set<int> taken;
  std::uniform_int_distribution<int> ports(kLowest, kHighest);
  for (int tries = 0; tries < 1000; ++tries) {
    const int port = ports(random);
    if (!taken.insert(port).second) {
      continue;
    }
    const int fd = TryListen(static_cast<std::uint16_t>(port));
    if (fd >= 0) {
      close(fd);
      return static_cast<std::uint16_t>(port);
    }
  }
  throw CannotRun("no free port");
}

/// @return a listening descriptor
inline int Listen(std::uint16_t port) {
  const int fd = TryListen(port);
  if (fd < 0) {
    throw CannotRun("cannot listen");
  }
  return fd;
}

/// @brief A server with one thread for each connection.
class Server {
 public:
  /// Answers a request on its connection.
  /// @return whether the connection stays open
  using Handler = std::function<bool(const Message&, Connection&)>;

  explicit Server(Handler handler) : m_handler(std::move(handler)) { Open(); }
  ~Server() { CloseAll(); }
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  std::uint16_t Port() const { return m_port; }
  std::string Address() const { return "127.0.0.1:" + std::to_string(m_port); }

  /// Listens, at the same port as before.
  void Open() {
    m_listener = Listen(m_port);
    m_open = true;
    m_thread = std::thread([this] { Accept(); });
  }

  /// Ends all connections with a reset and stops listening.
  void CloseAll() {
    if (!m_open.exchange(false)) {
      return;
    }
    shutdown(m_listener, SHUT_RDWR);
    m_thread.join();
    close(m_listener);
    ResetConnections();
    while (m_threads > 0) {
      Sleep(1);
    }
  }

  void ResetConnections() {
    const std::scoped_lock lock(m_mutex);
    for (const int fd : m_connections) {
      const linger now{1, 0};
      setsockopt(fd, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
      shutdown(fd, SHUT_RDWR);
    }
  }

  bool IsOpen() const { return m_open; }

 private:
  void Accept() {
    while (m_open) {
      const int fd = accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) {
        continue;
      }
      ++m_threads;
      std::thread([this, fd] { Serve(fd); }).detach();
    }
  }

  void Serve(int fd) {
    {
      Connection connection(fd);
      {
        const std::scoped_lock lock(m_mutex);
        m_connections.insert(fd);
      }
      Message request;
      while (m_open &&
             connection.ReadMessage(request,
                                    Clock::now() + std::chrono::minutes(2)) &&
             m_open && m_handler(request, connection)) {
      }
      const std::scoped_lock lock(m_mutex);
      m_connections.erase(fd);
    }
    --m_threads;
  }

  Handler m_handler;
  std::uint16_t m_port = FreePort();
  std::atomic<bool> m_open{false};
  int m_listener = -1;
  std::thread m_thread;
  std::atomic<int> m_threads{0};
  std::mutex m_mutex;
  std::set<int> m_connections;
};

inline std::string FormatResponse(const std::string& status,
                                  const std::string& headers,
                                  const std::string& body) {
  return "HTTP/1.1 " + status + "\r\n" + headers +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// @brief What a client got.
struct Answer {
  int status = 0;  ///< 0 without a head.
  bool complete = false;
  Message message;
};

/// Sends a request on a new connection and waits for its answer.
inline Answer Call(std::uint16_t port,
                   const std::string& request,
                   int timeout_ms) {
  Answer answer;
  Connection connection(Connect(port));
  if (connection.Fd() < 0 || !connection.Write(request)) {
    return answer;
  }
  answer.complete = connection.ReadMessage(
      answer.message, Clock::now() + Milliseconds(timeout_ms));
  answer.status = answer.message.Status();
  return answer;
}

}  // namespace review

#endif  // REVIEW_ROUND_2_TESTS_NET_H_
