#ifndef REVIEW_ROUND_2_TESTS_STORE_H_
#define REVIEW_ROUND_2_TESTS_STORE_H_

// Stand-in of the platform's store: topics with one partition, conditional
// appends, long polls, the newest record of each key, and restoring a copy.

#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

#include "net.h"

namespace review {

class Store {
 public:
  Store()
      : m_server([this](const Message& request, Connection& connection) {
          return Handle(request, connection);
        }) {}

  ~Store() { Leave(); }
  Store(const Store&) = delete;
  Store& operator=(const Store&) = delete;

  std::string Address() const { return m_server.Address(); }

  /// Writes a record of a keyed topic, as the operator and the workers do.
  /// @return its offset
  std::uint64_t Put(const std::string& topic,
                    const std::string& key,
                    const std::string& value) {
    const std::scoped_lock lock(m_mutex);
    std::string content(1, static_cast<char>(key.size()));
    content += key + value;
    m_topics[topic].push_back(content);
    m_changed.notify_all();
    return m_topics[topic].size() - 1;
  }

  std::uint64_t End(const std::string& topic) {
    const std::scoped_lock lock(m_mutex);
    return m_topics[topic].size();
  }

  /// Takes a copy of all that the store has.
  void Copy() {
    const std::scoped_lock lock(m_mutex);
    m_copy = m_topics;
  }

  /// The store is away: it resets all connections and accepts none.
  void Leave() {
    {
      const std::scoped_lock lock(m_mutex);
      m_away = true;
      m_changed.notify_all();
    }
    m_server.CloseAll();
  }

  /// The store comes back from its copy, in the next era.
  void ReturnFromCopy() {
    {
      const std::scoped_lock lock(m_mutex);
      m_topics = m_copy;
      ++m_era;
      m_away = false;
    }
    m_server.Open();
  }

 private:
  static std::string BigEndian(std::uint64_t value, unsigned bytes) {
    std::string text;
    for (unsigned shift = bytes * 8; shift > 0; shift -= 8) {
      text += static_cast<char>(value >> (shift - 8) & 0xffU);
    }
    return text;
  }

  static std::string Base64(std::string_view bytes) {
    static constexpr std::string_view kDigits =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
      std::uint32_t group = 0;
      for (std::size_t j = 0; j < 3; ++j) {
        group = group << 8U |
                (i + j < bytes.size() ? static_cast<unsigned char>(bytes[i + j])
                                      : 0U);
      }
      for (std::size_t j = 0; j < 4; ++j) {
        text += i + j <= bytes.size() ? kDigits[group >> (18 - 6 * j) & 0x3fU]
                                      : '=';
      }
    }
    return text;
  }

  static std::string Query(const std::string& target, const std::string& name) {
    const std::size_t at = target.find(name + "=");
    if (at == std::string::npos) {
      return {};
    }
    const std::size_t from = at + name.size() + 1;
    return target.substr(from, target.find('&', from) - from);
  }

  bool Reply(const Connection& connection,
             const std::string& status,
             const std::string& body) {
    std::string era;
    {
      const std::scoped_lock lock(m_mutex);
      if (m_away) {
        return false;
      }
      era = std::to_string(m_era);
    }
    return connection.Write(
        FormatResponse(status, "Store-Era: " + era + "\r\n", body));
  }

  bool Handle(const Message& request, Connection& connection) {
    const std::string target = request.Word(1);
    const std::string topic = Query(target, "topic");
    if (target.starts_with("/log-read")) {
      return Read(topic, target, connection);
    }
    if (target.starts_with("/log-newest")) {
      return ReadNewest(topic, connection);
    }
    if (target.starts_with("/log-append")) {
      return Append(topic, target, request.body, connection);
    }
    return Reply(connection, "404 Not Found", "");
  }

  bool Read(const std::string& topic,
            const std::string& target,
            const Connection& connection) {
    const std::uint64_t from =
        std::strtoull(Query(target, "from").c_str(), nullptr, 10);
    const int wait = std::atoi(Query(target, "waitMs").c_str());
    std::string body;
    {
      std::unique_lock lock(m_mutex);
      m_changed.wait_for(lock, Milliseconds(wait), [&] {
        return m_away || m_topics[topic].size() != from;
      });
      if (m_away) {
        return false;
      }
      const auto& records = m_topics[topic];
      if (from <= records.size()) {
        body = BigEndian(records.size(), 8) + BigEndian(0, 8);
        for (std::uint64_t at = from; at < records.size(); ++at) {
          body += BigEndian(records[at].size(), 4) + records[at];
        }
      }
    }
    if (body.empty()) {
      return Reply(connection, "410 Gone", R"({"first":0})");
    }
    return Reply(connection, "200 OK", body);
  }

  bool ReadNewest(const std::string& topic, const Connection& connection) {
    std::map<std::string, std::pair<std::uint64_t, std::string>> newest;
    std::uint64_t end = 0;
    {
      const std::scoped_lock lock(m_mutex);
      for (const std::string& record : m_topics[topic]) {
        const auto length = static_cast<unsigned char>(record.front());
        const std::string key = record.substr(1, length);
        if (record.size() > 1U + length) {
          newest[key] = {end, record.substr(1U + length)};
        } else {
          newest.erase(key);
        }
        ++end;
      }
    }
    std::string items;
    for (const auto& [key, entry] : newest) {
      items += std::string(items.empty() ? "" : ",") + R"({"key":")" + key +
               R"(","value":")" + Base64(entry.second) + R"(","offset":)" +
               std::to_string(entry.first) + "}";
    }
    return Reply(connection, "200 OK",
                 R"({"items":[)" + items + R"(],"hasMore":false,"end":)" +
                     std::to_string(end) + "}");
  }

  bool Append(const std::string& topic,
              const std::string& target,
              const std::string& body,
              const Connection& connection) {
    std::string status = "200 OK";
    std::string reply;
    {
      const std::scoped_lock lock(m_mutex);
      auto& records = m_topics[topic];
      const std::string at = Query(target, "at");
      if (!at.empty() &&
          std::strtoull(at.c_str(), nullptr, 10) != records.size()) {
        status = "412 Precondition Failed";
        reply = R"({"end":)" + std::to_string(records.size()) + "}";
      } else {
        const std::size_t offset = records.size();
        std::string_view rest = body;
        while (rest.size() >= 4) {
          std::size_t length = 0;
          for (const char c : rest.substr(0, 4)) {
            length = length << 8U | static_cast<unsigned char>(c);
          }
          records.emplace_back(rest.substr(4, length));
          rest.remove_prefix(std::min(rest.size(), 4 + length));
        }
        reply = R"({"offset":)" + std::to_string(offset) + R"(,"end":)" +
                std::to_string(records.size()) + "}";
        m_changed.notify_all();
      }
    }
    return Reply(connection, status, reply);
  }

  std::mutex m_mutex;
  std::condition_variable m_changed;
  std::map<std::string, std::vector<std::string>> m_topics;
  std::map<std::string, std::vector<std::string>> m_copy;
  std::uint64_t m_era = 1;
  bool m_away = false;
  Server m_server;
};

}  // namespace review

#endif  // REVIEW_ROUND_2_TESTS_STORE_H_
