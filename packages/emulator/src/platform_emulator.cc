#include "jasminehatch/detail/emulator/platform_emulator.h"

#include <algorithm>
#include <asio/io_context.hpp>
#include <charconv>
#include <chrono>
#include <nlohmann/json.hpp>
#include <utility>

#include "jasminehatch/detail/http/http_server.h"
#include "jasminehatch/detail/http/response_writer.h"

namespace jasminehatch::emulator {
namespace {

using nlohmann::json;

constexpr char kOperatorTopic[] = "keyed.op";
constexpr char kUpstreamTopic[] = "keyed.servers";

std::uint64_t ParseNumber(std::string_view text) {
  std::uint64_t value = 0;
  std::from_chars(text.data(), text.data() + text.size(), value);
  return value;
}

std::string BigEndian(std::uint64_t value, unsigned bytes) {
  std::string text;
  for (unsigned shift = bytes * 8; shift > 0; shift -= 8) {
    text += static_cast<char>(value >> (shift - 8) & 0xffU);
  }
  return text;
}

std::string Base64(std::string_view bytes) {
  static constexpr std::string_view kDigits =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  for (std::size_t i = 0; i < bytes.size(); i += 3) {
    std::uint32_t group = 0;
    for (std::size_t j = 0; j < 3; ++j) {
      const std::uint32_t byte =
          i + j < bytes.size() ? static_cast<unsigned char>(bytes[i + j]) : 0;
      group = group << 8U | byte;
    }
    for (std::size_t j = 0; j < 4; ++j) {
      text +=
          i + j <= bytes.size() ? kDigits[group >> (18 - 6 * j) & 0x3fU] : '=';
    }
  }
  return text;
}

bool IsKeyed(const std::string& topic) {
  return topic.starts_with("keyed.");
}

std::string TopicOf(const net::HttpRequest& request) {
  return std::string(net::FindQueryParameter(request.query, "topic"));
}

}  // namespace

PlatformEmulator::PlatformEmulator(asio::io_context& loop)
    : m_loop(loop), m_copy_timer(loop) {
  m_server = std::make_unique<net::HttpServer>(
      loop, net::HttpServer::Options{},
      [this](const net::HttpRequest& request,
             const std::shared_ptr<net::ResponseWriter>& writer) {
        Handle(request, writer);
      });
}

PlatformEmulator::~PlatformEmulator() = default;

void PlatformEmulator::PutConfiguration(const std::string& configuration) {
  Put(kOperatorTopic, "config", configuration);
}

void PlatformEmulator::PutUpstream(const std::string& id,
                                   const std::string& entry) {
  Put(kUpstreamTopic, id, entry);
}

void PlatformEmulator::CompactAll() {
  Compact(kOperatorTopic);
  Compact(kUpstreamTopic);
}

std::string PlatformEmulator::Address() const {
  return "127.0.0.1:" + std::to_string(m_server->Port());
}

void PlatformEmulator::Put(const std::string& topic,
                           const std::string& key,
                           const std::string& value) {
  AddRecord(topic, BigEndian(key.size(), 1) + key + value);
}

void PlatformEmulator::AddRecord(const std::string& topic,
                                 const std::string& content) {
  Topic& target = m_topics[topic];
  target.records.push_back(content);
  if (IsKeyed(topic)) {
    UpdateNewest(target, target.End() - 1);
  }
  CompletePendingReads(topic);
}

/// Replaces the newest record of a key by the record at an offset.
void PlatformEmulator::UpdateNewest(Topic& topic, std::uint64_t offset) {
  const std::string& content = topic.records.at(offset - topic.first);
  if (content.empty()) {
    return;
  }
  const std::size_t length = static_cast<unsigned char>(content[0]);
  const std::string key = content.substr(1, length);
  if (content.size() < 1 + length) {
    // Without a complete key it replaces no record.
  } else if (content.size() > 1 + length) {
    topic.newest[key] = {offset, content.substr(1 + length)};
  } else {
    topic.newest.erase(key);
  }
}

void PlatformEmulator::Compact(const std::string& topic) {
  Topic& target = m_topics[topic];
  target.first = target.End();
  target.records.clear();
  CompletePendingReads(topic);
}

void PlatformEmulator::Handle(
    const net::HttpRequest& request,
    const std::shared_ptr<net::ResponseWriter>& writer) {
  ++m_calls;
  if (m_down || m_topics[TopicOf(request)].down) {
    Send(*writer, 503, "");
  } else if (request.path == "/log-read") {
    Read(request, writer);
  } else if (request.path == "/log-newest") {
    ReadNewest(request, *writer);
  } else if (request.path == "/log-append") {
    Append(request, *writer);
  } else {
    Send(*writer, 404, "");
  }
}

void PlatformEmulator::RestoreOlderCopy(const std::string& topic,
                                        std::uint64_t end) {
  RejectPendingReads();
  ++m_epoch;
  Topic& target = m_topics[topic];
  target.records.resize(std::min<std::size_t>(
      target.records.size(), end - std::min(end, target.first)));
  target.newest.clear();
  for (std::size_t i = 0; IsKeyed(topic) && i < target.records.size(); ++i) {
    UpdateNewest(target, target.first + i);
  }
}

void PlatformEmulator::KeepCopies(std::chrono::milliseconds interval,
                                  std::chrono::milliseconds retention) {
  TakeCopy(interval, retention);
}

void PlatformEmulator::TakeCopy(std::chrono::milliseconds interval,
                                std::chrono::milliseconds retention) {
  const auto now = std::chrono::steady_clock::now();
  std::erase_if(m_copies, [&](const Copy& copy) {
    return copy.taken_at + retention < now;
  });
  m_copies.push_back({now, m_topics});
  m_copy_timer.expires_after(interval);
  m_copy_timer.async_wait(
      [this, interval, retention](const asio::error_code& error) {
        if (!error) {
          TakeCopy(interval, retention);
        }
      });
}

void PlatformEmulator::RestoreOlderCopyOfAll(std::chrono::milliseconds age) {
  RejectPendingReads();
  ++m_epoch;
  const auto latest = std::chrono::steady_clock::now() - age;
  const auto newer =
      std::find_if(m_copies.begin(), m_copies.end(),
                   [&](const Copy& copy) { return copy.taken_at > latest; });
  auto topics = (newer == m_copies.begin() ? newer : newer - 1)->topics;
  for (const auto& [name, topic] : m_topics) {
    topics[name].reads = topic.reads;
  }
  m_topics = std::move(topics);
}

void PlatformEmulator::SilencePendingReads() {
  for (const auto& reader : m_pending_reads) {
    reader->timer->cancel();
    m_silent_reads.push_back(reader);
  }
  m_pending_reads.clear();
}

/// Ends the reads that wait for a record, as a store that goes away does.
void PlatformEmulator::RejectPendingReads() {
  for (const auto& reader : std::exchange(m_pending_reads, {})) {
    reader->timer->cancel();
    Send(*reader->writer, 503, "");
  }
}

std::uint64_t PlatformEmulator::End(const std::string& topic) const {
  const auto found = m_topics.find(topic);
  return found != m_topics.end() ? found->second.End() : 0;
}

std::uint64_t PlatformEmulator::OperatorEnd() const {
  return End(kOperatorTopic);
}

std::uint64_t PlatformEmulator::ReadCount(const std::string& topic) const {
  const auto found = m_topics.find(topic);
  return found != m_topics.end() ? found->second.reads : 0;
}

void PlatformEmulator::Send(net::ResponseWriter& writer,
                            int status,
                            const std::string& body) const {
  writer.Send(status, {{"Store-Era", std::to_string(m_epoch)}}, body);
}

/// Sends the records from an offset on, or 410 if the store does not have it.
void PlatformEmulator::SendPage(net::ResponseWriter& writer,
                                const Topic& topic,
                                std::uint64_t from) const {
  if (from < topic.first || from > topic.End()) {
    Send(writer, 410, json{{"first", topic.first}}.dump());
    return;
  }
  std::string page = BigEndian(topic.End(), 8) + BigEndian(topic.first, 8);
  for (std::uint64_t at = from; at < topic.End(); ++at) {
    const std::string& record = topic.records.at(at - topic.first);
    page += BigEndian(record.size(), 4) + record;
  }
  Send(writer, 200, page);
}

void PlatformEmulator::Read(
    const net::HttpRequest& request,
    const std::shared_ptr<net::ResponseWriter>& writer) {
  const std::string name = TopicOf(request);
  Topic& topic = m_topics[name];
  ++topic.reads;
  const auto from = ParseNumber(net::FindQueryParameter(request.query, "from"));
  const auto wait =
      ParseNumber(net::FindQueryParameter(request.query, "waitMs"));
  if (from != topic.End() || wait == 0) {
    SendPage(*writer, topic, from);
    return;
  }
  auto pending = std::make_shared<PendingRead>(PendingRead{
      name, from, writer, std::make_shared<asio::steady_timer>(m_loop)});
  m_pending_reads.push_back(pending);
  pending->timer->expires_after(std::chrono::milliseconds(wait));
  pending->timer->async_wait([this, pending](const asio::error_code& error) {
    if (!error && std::erase(m_pending_reads, pending) > 0) {
      SendPage(*pending->writer, m_topics[pending->topic], pending->from);
    }
  });
}

void PlatformEmulator::CompletePendingReads(const std::string& topic) {
  const auto pending = m_pending_reads;
  for (const auto& reader : pending) {
    if (reader->topic != topic) {
      continue;
    }
    std::erase(m_pending_reads, reader);
    reader->timer->cancel();
    SendPage(*reader->writer, m_topics[topic], reader->from);
  }
}

void PlatformEmulator::ReadNewest(const net::HttpRequest& request,
                                  net::ResponseWriter& writer) {
  const Topic& topic = m_topics[TopicOf(request)];
  json items = json::array();
  for (const auto& [key, entry] : topic.newest) {
    items.push_back({{"key", key},
                     {"value", Base64(entry.second)},
                     {"offset", entry.first}});
  }
  Send(
      writer, 200,
      json{
          {"items", std::move(items)}, {"hasMore", false}, {"end", topic.End()}}
          .dump());
}

void PlatformEmulator::Append(const net::HttpRequest& request,
                              net::ResponseWriter& writer) {
  const std::string name = TopicOf(request);
  const Topic& topic = m_topics[name];
  const std::string_view at = net::FindQueryParameter(request.query, "at");
  if (!at.empty() && ParseNumber(at) != topic.End()) {
    Send(writer, 412, json{{"end", topic.End()}}.dump());
    return;
  }
  const std::uint64_t offset = topic.End();
  std::string_view body = request.body;
  while (body.size() >= 4) {
    std::size_t length = 0;
    for (const char c : body.substr(0, 4)) {
      length = length << 8U | static_cast<unsigned char>(c);
    }
    body.remove_prefix(4);
    AddRecord(name, std::string(body.substr(0, length)));
    body.remove_prefix(std::min(length, body.size()));
  }
  Send(writer, 200, json{{"offset", offset}, {"end", topic.End()}}.dump());
}

}  // namespace jasminehatch::emulator
