#include "jasminehatch/detail/daemon/upstream_monitor.h"

#include <asio/io_context.hpp>
#include <string>
#include <utility>

#include "jasminehatch/detail/base/exception.h"
#include "jasminehatch/detail/daemon/event_sink.h"
#include "jasminehatch/detail/http/http_client.h"
#include "jasminehatch/detail/json/upstream_report.h"
#include "jasminehatch/detail/reducer/state.h"
#include "jasminehatch/telemetry.h"

namespace jasminehatch::daemon {
namespace {

constexpr std::chrono::milliseconds kQueryTimeout{1000};

bool IsSuccess(const net::HttpResult& result) {
  return result.kind == net::HttpResult::Kind::kComplete &&
         result.status == 200;
}

}  // namespace

UpstreamMonitor::UpstreamMonitor(asio::io_context& loop,
                                 const State& state,
                                 EventSink& sink,
                                 net::HttpClient& client,
                                 std::chrono::milliseconds interval)
    : m_state(state),
      m_sink(sink),
      m_client(client),
      m_interval(interval),
      m_timer(loop) {}

void UpstreamMonitor::QueryUpstreams() {
  const auto& upstreams = m_state.serving.upstreams;
  m_query_pending.resize(upstreams.size());
  for (const serving::UpstreamView& view : upstreams) {
    // The model of a plain service's upstream is `service:` and the service's
    // name.
    const bool engine = view.spec.model.compare(0, 8, "service:") != 0;
    if (view.configured && engine && !m_query_pending[view.id.value]) {
      m_query_pending[view.id.value] = true;
      QueryLoad(view.id);
    }
  }
  m_timer.expires_after(m_interval);
  m_timer.async_wait([this](const asio::error_code& error) {
    if (!error) {
      QueryUpstreams();
    }
  });
}

void UpstreamMonitor::QueryLoad(UpstreamId upstream) {
  net::HttpCall call;
  call.url = m_state.serving.View(upstream).spec.url + "/engine/v1/load";
  call.total_timeout = kQueryTimeout;
  m_client.Start(
      std::move(call), [this, upstream](const net::HttpResult& result) {
        if (!IsSuccess(result)) {
          m_query_pending[upstream.value] = false;
          m_sink.Post(serving::Event{serving::UpstreamUnreachable{upstream}});
          return;
        }
        try {
          serving::LoadReported report = codec::ParseLoadReport(result.body);
          report.upstream = upstream;
          m_sink.Post(serving::Event{std::move(report)});
        } catch (const CodecError& error) {
          telemetry::LogWarning(
              "load_report_invalid",
              {{"upstream", m_state.serving.View(upstream).spec.name},
               {"detail", error.what()}});
        }
        QueryEvents(upstream);
      });
}

void UpstreamMonitor::QueryEvents(UpstreamId upstream) {
  const serving::UpstreamView& view = m_state.serving.View(upstream);
  net::HttpCall call;
  call.url = view.spec.url +
             "/engine/v1/events?after=" + std::to_string(view.cache_sequence);
  call.total_timeout = kQueryTimeout;
  m_client.Start(
      std::move(call), [this, upstream](const net::HttpResult& result) {
        m_query_pending[upstream.value] = false;
        if (!IsSuccess(result)) {
          return;
        }
        try {
          m_sink.Post(serving::Event{serving::CacheChanged{
              upstream, codec::ParseCacheChanges(result.body)}});
        } catch (const CodecError& error) {
          telemetry::LogWarning(
              "cache_events_invalid",
              {{"upstream", m_state.serving.View(upstream).spec.name},
               {"detail", error.what()}});
        }
      });
}

void UpstreamMonitor::FetchCacheListing(UpstreamId upstream) {
  net::HttpCall call;
  call.url = m_state.serving.View(upstream).spec.url + "/engine/v1/cache";
  call.total_timeout = kQueryTimeout;
  m_client.Start(
      std::move(call), [this, upstream](const net::HttpResult& result) {
        if (!IsSuccess(result)) {
          return;
        }
        try {
          serving::CacheListed listing = codec::ParseCacheListing(result.body);
          listing.upstream = upstream;
          m_sink.Post(serving::Event{std::move(listing)});
        } catch (const CodecError& error) {
          telemetry::LogWarning(
              "cache_listing_invalid",
              {{"upstream", m_state.serving.View(upstream).spec.name},
               {"detail", error.what()}});
        }
      });
}

}  // namespace jasminehatch::daemon
