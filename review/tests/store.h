#ifndef JASMINEHATCH_REVIEW_TESTS_STORE_H_
#define JASMINEHATCH_REVIEW_TESTS_STORE_H_

#include <condition_variable>
#include <deque>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>

#include "http.h"

namespace jasminehatch::review {

inline std::string BigEndian(std::uint64_t value, unsigned bytes) {
  std::string text;
  for (unsigned shift = bytes * 8; shift > 0; shift -= 8) {
    text += static_cast<char>(value >> (shift - 8) & 0xffU);
  }
  return text;
}

inline std::string Base64(std::string_view bytes) {
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
      text +=
          i + j <= bytes.size() ? kDigits[group >> (18 - 6 * j) & 0x3fU] : '=';
    }
  }
  return text;
}

/// @brief The platform's metadata store, as PROTOCOL.md describes it: topics of
/// records with offsets, conditional appends, reads that wait, the newest
/// record of each key, and records that expire.
class Store {
 public:
  /// @param keep how long records are kept (`keep_s`)
  Store(const std::string& ip, std::chrono::seconds keep)
      : m_keep(keep), m_server(ip, [this](const Message& request) {
          return Handle(request);
        }) {}

  std::string Address() const { return m_server.Address(); }

  /// Writes a record of a keyed topic, as the operator and the workers do; an
  /// empty value drops the key.
  void Put(const std::string& topic,
           const std::string& key,
           const std::string& value) {
    const std::lock_guard lock(m_mutex);
    Add(topic, BigEndian(key.size(), 1) + key + value);
  }

  /// @return the number of records of a topic that are still kept
  std::size_t Kept(const std::string& topic) {
    const std::lock_guard lock(m_mutex);
    Expire(m_topics[topic]);
    return m_topics[topic].records.size();
  }

 private:
  struct Record {
    Clock::time_point at;
    std::string content;
  };
  struct Topic {
    std::uint64_t first = 0;
    std::deque<Record> records;
    std::map<std::string, std::pair<std::uint64_t, std::string>> newest;

    std::uint64_t End() const { return first + records.size(); }
  };

  static bool IsKeyed(const std::string& topic) {
    return topic.starts_with("keyed.");
  }

  void Expire(Topic& topic) const {
    while (!topic.records.empty() &&
           Clock::now() - topic.records.front().at > m_keep) {
      topic.records.pop_front();
      ++topic.first;
    }
  }

  void Add(const std::string& name, const std::string& content) {
    Topic& topic = m_topics[name];
    if (IsKeyed(name)) {
      const std::size_t length = static_cast<unsigned char>(content[0]);
      const std::string key = content.substr(1, length);
      if (content.size() > 1 + length) {
        topic.newest[key] = {topic.End(), content.substr(1 + length)};
      } else {
        topic.newest.erase(key);
      }
    }
    topic.records.push_back({Clock::now(), content});
    m_changed.notify_all();
  }

  Reply Handle(const Message& request) {
    const std::string path = request.Path();
    if (path == "/log-read") {
      return Read(request);
    }
    if (path == "/log-newest") {
      return ReadNewest(request);
    }
    return path == "/log-append" ? Append(request) : Reply{404, {}, "", false};
  }

  Reply Read(const Message& request) {
    const std::string name = request.Query("topic");
    const std::uint64_t from = std::stoull(request.Query("from"));
    const std::string wait = request.Query("waitMs");
    const auto until =
        Clock::now() + milliseconds(wait.empty() ? 0 : std::stoll(wait));
    std::unique_lock lock(m_mutex);
    Topic& topic = m_topics[name];
    while (from >= topic.End() && Clock::now() < until) {
      m_changed.wait_until(lock, until);
    }
    Expire(topic);
    if (from < topic.first) {
      return {410, {}, nlohmann::json{{"first", topic.first}}.dump(), false};
    }
    std::string page = BigEndian(topic.End(), 8) + BigEndian(topic.first, 8);
    for (std::uint64_t at = from; at < topic.End(); ++at) {
      const std::string& content = topic.records.at(at - topic.first).content;
      page += BigEndian(content.size(), 4) + content;
    }
    return {200, {{"Content-Type", "application/octet-stream"}}, page, false};
  }

  Reply ReadNewest(const Message& request) {
    const std::lock_guard lock(m_mutex);
    const Topic& topic = m_topics[request.Query("topic")];
    nlohmann::json items = nlohmann::json::array();
    for (const auto& [key, entry] : topic.newest) {
      items.push_back({{"key", key},
                       {"value", Base64(entry.second)},
                       {"offset", entry.first}});
    }
    const nlohmann::json page{
        {"items", items}, {"hasMore", false}, {"end", topic.End()}};
    return {200, {{"Content-Type", "application/json"}}, page.dump(), false};
  }

  Reply Append(const Message& request) {
    const std::string name = request.Query("topic");
    if (name == "keyed.op" || name == "keyed.servers") {
      return {403, {}, "", false};
    }
    constexpr milliseconds kAppendTime{4};
    std::this_thread::sleep_for(kAppendTime);
    const std::lock_guard lock(m_mutex);
    Topic& topic = m_topics[name];
    Expire(topic);
    const std::string at = request.Query("at");
    if (!at.empty() && std::stoull(at) != topic.End()) {
      return {412, {}, nlohmann::json{{"end", topic.End()}}.dump(), false};
    }
    const std::uint64_t offset = topic.End();
    std::string_view body = request.body;
    while (body.size() >= 4) {
      std::size_t length = 0;
      for (const char c : body.substr(0, 4)) {
        length = length << 8U | static_cast<unsigned char>(c);
      }
      Add(name, std::string(body.substr(4, length)));
      body.remove_prefix(std::min(length + 4, body.size()));
    }
    return {200,
            {{"Content-Type", "application/json"}},
            nlohmann::json{{"offset", offset}, {"end", topic.End()}}.dump(),
            false};
  }

  std::chrono::seconds m_keep;
  std::mutex m_mutex;
  std::condition_variable m_changed;
  std::map<std::string, Topic> m_topics;
  HttpServer m_server;
};

}  // namespace jasminehatch::review

#endif  // JASMINEHATCH_REVIEW_TESTS_STORE_H_
