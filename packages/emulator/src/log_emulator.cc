#include "jasminehatch/detail/emulator/log_emulator.h"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <charconv>
#include <deque>
#include <nlohmann/json.hpp>
#include <utility>

#include "jasminehatch/detail/http/response_writer.h"
#include "json_response.h"

namespace jasminehatch::emulator {
namespace {

using nlohmann::json;

std::uint64_t ReadNumber(std::string_view text, std::uint64_t fallback) {
  std::uint64_t value = 0;
  const auto [rest, error] =
      std::from_chars(text.data(), text.data() + text.size(), value);
  return error == std::errc{} && rest == text.data() + text.size() &&
                 !text.empty()
             ? value
             : fallback;
}

}  // namespace

/// A read that waits for records.
struct LogEmulator::PendingRead {
  std::uint64_t from = 1;
  std::size_t limit = 0;
  Writer writer;
  std::unique_ptr<asio::steady_timer> timer;
};

/// The records of one stream; the first has offset `first`.
struct LogEmulator::Stream {
  std::uint64_t first = 1;
  std::deque<std::string> records;
  std::list<PendingRead> pending;

  std::uint64_t Next() const { return first + records.size(); }
};

LogEmulator::LogEmulator(asio::io_context& loop,
                         const net::HttpServer::Options& options,
                         std::uint64_t seed)
    : m_loop(loop),
      m_random(seed),
      m_server(loop,
               options,
               [this](const net::HttpRequest& request, const Writer& writer) {
                 OnRequest(request, writer);
               }) {}

LogEmulator::~LogEmulator() = default;

void LogEmulator::OnRequest(const net::HttpRequest& request,
                            const Writer& writer) {
  if (request.path == "/admin/faults") {
    OnFaults(request.body, writer);
    return;
  }
  static constexpr std::string_view kPrefix = "/v1/streams/";
  static constexpr std::string_view kSuffix = "/records";
  const std::string& path = request.path;
  if (path.size() <= kPrefix.size() + kSuffix.size() ||
      path.compare(0, kPrefix.size(), kPrefix) != 0 ||
      path.compare(path.size() - kSuffix.size(), kSuffix.size(), kSuffix) !=
          0) {
    writer->Send(404, kJsonHeaders, R"({"error":"unknown path"})");
    return;
  }
  if (m_faults.outage) {
    writer->Send(503, kJsonHeaders, R"({"error":"outage"})");
    return;
  }
  const std::string stream = path.substr(
      kPrefix.size(), path.size() - kPrefix.size() - kSuffix.size());
  if (request.method == "POST") {
    OnAppend(stream, request.body, writer);
  } else {
    OnRead(stream, request, writer);
  }
}

void LogEmulator::OnAppend(const std::string& stream,
                           std::string data,
                           const Writer& writer) {
  if (m_faults.append_delay.count() == 0) {
    FinishAppend(stream, std::move(data), writer);
    return;
  }
  auto timer =
      std::make_shared<asio::steady_timer>(m_loop, m_faults.append_delay);
  timer->async_wait([this, timer, stream, data = std::move(data),
                     writer](const asio::error_code& error) mutable {
    if (!error) {
      FinishAppend(stream, std::move(data), writer);
    }
  });
}

void LogEmulator::FinishAppend(const std::string& stream,
                               std::string data,
                               const Writer& writer) {
  Stream& target = m_streams[stream];
  const std::uint64_t offset = target.Next();
  target.records.push_back(std::move(data));
  ++m_append_count;
  while (m_faults.retention > 0 && target.records.size() > m_faults.retention) {
    target.records.pop_front();
    ++target.first;
  }
  auto pending = std::exchange(target.pending, {});
  for (const PendingRead& read : pending) {
    SendPage(target, read.from, read.limit, read.writer);
  }
  if (std::uniform_real_distribution<>(0, 1)(m_random) <
      m_faults.lost_response_share) {
    writer->BeginTruncatedStream(200, kJsonHeaders);
    writer->End();
    return;
  }
  writer->Send(200, kJsonHeaders, json{{"offset", offset}}.dump());
}

void LogEmulator::OnRead(const std::string& stream,
                         const net::HttpRequest& request,
                         const Writer& writer) {
  const std::uint64_t from =
      ReadNumber(net::FindQueryParameter(request.query, "from"), 1);
  const std::size_t limit =
      ReadNumber(net::FindQueryParameter(request.query, "limit"), 1000);
  const std::uint64_t wait_ms =
      ReadNumber(net::FindQueryParameter(request.query, "wait_ms"), 0);
  Stream& source = m_streams[stream];
  if (from < source.Next() || wait_ms == 0) {
    SendPage(source, from, limit, writer);
    return;
  }
  const auto read = source.pending.insert(
      source.pending.end(), {from, limit, writer,
                             std::make_unique<asio::steady_timer>(
                                 m_loop, std::chrono::milliseconds(wait_ms))});
  read->timer->async_wait([this, stream, read](const asio::error_code& error) {
    if (error) {
      return;
    }
    Stream& waited = m_streams[stream];
    SendPage(waited, read->from, read->limit, read->writer);
    waited.pending.erase(read);
  });
}

void LogEmulator::SendPage(const Stream& stream,
                           std::uint64_t from,
                           std::size_t limit,
                           const Writer& writer) const {
  json records = json::array();
  std::uint64_t offset = std::max(from, stream.first);
  while (offset < stream.Next() && records.size() < limit) {
    records.push_back(
        {{"offset", offset}, {"data", stream.records[offset - stream.first]}});
    ++offset;
  }
  writer->Send(200, kJsonHeaders,
               json{{"first", stream.first},
                    {"next", offset},
                    {"records", std::move(records)}}
                   .dump());
}

void LogEmulator::OnFaults(const std::string& body, const Writer& writer) {
  const json document = json::parse(body, nullptr, false);
  if (!document.is_object()) {
    writer->Send(400, kJsonHeaders, kExpectedObject);
    return;
  }
  m_faults.outage = document.value("outage", m_faults.outage);
  m_faults.lost_response_share =
      document.value("lose_answers", m_faults.lost_response_share);
  m_faults.append_delay = std::chrono::milliseconds(
      document.value("append_delay_ms",
                     static_cast<std::int64_t>(m_faults.append_delay.count())));
  m_faults.retention = document.value("retention", m_faults.retention);
  writer->Send(200, kJsonHeaders, "{}");
}

}  // namespace jasminehatch::emulator
