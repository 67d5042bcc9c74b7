#ifndef JASMINEHATCH_REVIEW_TESTS_HTTP_H_
#define JASMINEHATCH_REVIEW_TESTS_HTTP_H_

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cctype>
#include <chrono>
#include <cstdint>
#include <cstring>
#include <functional>
#include <map>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

namespace jasminehatch::review {

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

/// @brief A request or a response of HTTP/1.1.
struct Message {
  std::string start;                           ///< Request line or status line.
  std::map<std::string, std::string> headers;  ///< Names in lower case.
  std::string body;

  std::string Header(const std::string& name) const {
    const auto found = headers.find(name);
    return found == headers.end() ? std::string() : found->second;
  }
  std::string Method() const { return start.substr(0, start.find(' ')); }
  std::string Target() const {
    const std::size_t begin = start.find(' ') + 1;
    return start.substr(begin, start.find(' ', begin) - begin);
  }
  std::string Path() const {
    const std::string target = Target();
    return target.substr(0, target.find('?'));
  }
  int Status() const {
    const std::size_t space = start.find(' ');
    return space == std::string::npos ? 0
                                      : std::atoi(start.c_str() + space + 1);
  }
  /// @return the value of a query parameter, empty if it is missing
  std::string Query(const std::string& name) const {
    const std::string target = Target();
    std::size_t at = target.find('?');
    while (at != std::string::npos) {
      const std::size_t begin = at + 1;
      at = target.find('&', begin);
      const std::string item = target.substr(begin, at - begin);
      if (item.starts_with(name + "=")) {
        return item.substr(name.size() + 1);
      }
    }
    return {};
  }
};

/// @brief What a server stand-in answers.
struct Reply {
  int status = 200;
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;
  bool reset = false;  ///< Reset the connection without an answer.
};

/// @brief One TCP connection with buffered reads of whole messages.
class Connection {
 public:
  explicit Connection(int descriptor) : m_descriptor(descriptor) {
    const int yes = 1;
    setsockopt(m_descriptor, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof(yes));
  }
  ~Connection() { close(m_descriptor); }
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  /// Makes the close of the connection a reset.
  void ResetOnClose() const {
    const linger hard{1, 0};
    setsockopt(m_descriptor, SOL_SOCKET, SO_LINGER, &hard, sizeof(hard));
  }

  bool Connect(const sockaddr_in& remote) const {
    return connect(m_descriptor, reinterpret_cast<const sockaddr*>(&remote),
                   sizeof(remote)) == 0;
  }

  bool Write(std::string_view bytes) const {
    while (!bytes.empty()) {
      const ssize_t sent =
          send(m_descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL);
      if (sent <= 0) {
        return false;
      }
      bytes.remove_prefix(static_cast<std::size_t>(sent));
    }
    return true;
  }

  /// @return the next message, or nothing at the end of the connection, after
  /// the deadline, or once `stop` is set
  std::optional<Message> Read(Clock::time_point deadline,
                              const std::atomic<bool>& stop) {
    std::size_t end = std::string::npos;
    while ((end = m_input.find("\r\n\r\n")) == std::string::npos) {
      if (!Receive(deadline, stop)) {
        return std::nullopt;
      }
    }
    Message message = ParseHead(m_input.substr(0, end));
    m_input.erase(0, end + 4);
    if (message.Header("transfer-encoding") == "chunked") {
      return ReadChunks(std::move(message), deadline, stop);
    }
    const auto length = static_cast<std::size_t>(
        std::atoll(message.Header("content-length").c_str()));
    while (m_input.size() < length) {
      if (!Receive(deadline, stop)) {
        return std::nullopt;
      }
    }
    message.body = m_input.substr(0, length);
    m_input.erase(0, length);
    return message;
  }

 private:
  static Message ParseHead(const std::string& head) {
    Message message;
    std::size_t at = head.find("\r\n");
    message.start = head.substr(0, at);
    while (at != std::string::npos) {
      const std::size_t begin = at + 2;
      at = head.find("\r\n", begin);
      const std::string line = head.substr(begin, at - begin);
      const std::size_t colon = line.find(':');
      if (colon == std::string::npos) {
        continue;
      }
      std::string name = line.substr(0, colon);
      std::transform(name.begin(), name.end(), name.begin(),
                     [](unsigned char c) { return std::tolower(c); });
      const std::size_t value = line.find_first_not_of(' ', colon + 1);
      message.headers[name] =
          value == std::string::npos ? std::string() : line.substr(value);
    }
    return message;
  }

  std::optional<Message> ReadChunks(Message message,
                                    Clock::time_point deadline,
                                    const std::atomic<bool>& stop) {
    while (true) {
      std::size_t line = std::string::npos;
      while ((line = m_input.find("\r\n")) == std::string::npos) {
        if (!Receive(deadline, stop)) {
          return std::nullopt;
        }
      }
      const std::size_t size = std::stoul(m_input.substr(0, line), nullptr, 16);
      while (m_input.size() < line + size + 4) {
        if (!Receive(deadline, stop)) {
          return std::nullopt;
        }
      }
      message.body += m_input.substr(line + 2, size);
      m_input.erase(0, line + size + 4);
      if (size == 0) {
        return message;
      }
    }
  }

  bool Receive(Clock::time_point deadline, const std::atomic<bool>& stop) {
    constexpr int kPollMs = 20;
    while (!stop && Clock::now() < deadline) {
      pollfd waiting{m_descriptor, POLLIN, 0};
      if (poll(&waiting, 1, kPollMs) <= 0) {
        continue;
      }
      char buffer[16384];
      const ssize_t got = recv(m_descriptor, buffer, sizeof(buffer), 0);
      if (got <= 0) {
        return false;
      }
      m_input.append(buffer, static_cast<std::size_t>(got));
      return true;
    }
    return false;
  }

  int m_descriptor;
  std::string m_input;
};

inline sockaddr_in ParseAddress(const std::string& ip, int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
  return address;
}

/// @brief HTTP server on one loopback address; a thread for each connection.
class HttpServer {
 public:
  using Handler = std::function<Reply(const Message&)>;

  HttpServer(std::string ip, Handler handler)
      : m_ip(std::move(ip)), m_handler(std::move(handler)) {
    Listen();
    m_acceptor = std::thread([this] { Accept(); });
  }
  ~HttpServer() {
    m_stop = true;
    m_acceptor.join();
    while (m_open > 0) {
      std::this_thread::sleep_for(milliseconds(5));
    }
    close(m_listener);
  }
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  std::string Address() const { return m_ip + ":" + std::to_string(m_port); }

  /// While it is down, its connections are reset and new ones are refused.
  void SetDown(bool down) { m_down = down; }

 private:
  void Listen() {
    m_listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int yes = 1;
    setsockopt(m_listener, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof(yes));
    const sockaddr_in address = ParseAddress(m_ip, m_port);
    if (bind(m_listener, reinterpret_cast<const sockaddr*>(&address),
             sizeof(address)) != 0 ||
        listen(m_listener, 256) != 0) {
      throw std::runtime_error("cannot listen on " + Address() + ": " +
                               std::strerror(errno));
    }
    sockaddr_in bound{};
    socklen_t size = sizeof(bound);
    getsockname(m_listener, reinterpret_cast<sockaddr*>(&bound), &size);
    m_port = ntohs(bound.sin_port);
  }

  void Accept() {
    while (!m_stop) {
      if (m_down && m_listener >= 0) {
        close(m_listener);
        m_listener = -1;
      } else if (!m_down && m_listener < 0) {
        Listen();
      }
      pollfd waiting{m_listener, POLLIN, 0};
      if (poll(&waiting, 1, 5) <= 0) {
        continue;
      }
      const int accepted = accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
      if (accepted < 0) {
        continue;
      }
      ++m_open;
      std::thread([this, accepted] {
        Serve(accepted);
        --m_open;
      }).detach();
    }
  }

  void Serve(int accepted) {
    Connection connection(accepted);
    while (!m_stop) {
      if (m_down) {
        connection.ResetOnClose();
        return;
      }
      const auto request =
          connection.Read(Clock::now() + milliseconds(60'000), m_down);
      if (m_down) {
        connection.ResetOnClose();
        return;
      }
      if (!request) {
        return;
      }
      const Reply reply = m_handler(*request);
      if (reply.reset || m_down) {
        connection.ResetOnClose();
        return;
      }
      std::string text =
          "HTTP/1.1 " + std::to_string(reply.status) + " Status\r\n";
      for (const auto& [name, value] : reply.headers) {
        text += name + ": " + value + "\r\n";
      }
      text += "Content-Length: " + std::to_string(reply.body.size()) +
              "\r\n\r\n" + reply.body;
      if (!connection.Write(text)) {
        return;
      }
    }
  }

  std::string m_ip;
  Handler m_handler;
  int m_listener = -1;
  int m_port = 0;
  std::atomic<bool> m_stop{false};
  std::atomic<bool> m_down{false};
  std::atomic<int> m_open{0};
  std::thread m_acceptor;
};

/// Sends a request on a new connection.
/// @return the response; nothing without one
inline std::optional<Message> Call(const std::string& address,
                                   const std::string& text,
                                   milliseconds limit) {
  static const std::atomic<bool> kNever{false};
  const std::size_t colon = address.find(':');
  const sockaddr_in remote = ParseAddress(address.substr(0, colon),
                                          std::stoi(address.substr(colon + 1)));
  Connection connection(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  if (!connection.Connect(remote) || !connection.Write(text)) {
    return std::nullopt;
  }
  return connection.Read(Clock::now() + limit, kNever);
}

}  // namespace jasminehatch::review

#endif  // JASMINEHATCH_REVIEW_TESTS_HTTP_H_
