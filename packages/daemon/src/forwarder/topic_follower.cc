#include "jasminehatch/detail/forwarder/topic_follower.h"

#include <algorithm>
#include <asio/io_context.hpp>
#include <utility>

#include "jasminehatch/detail/base/clock.h"
#include "jasminehatch/platform.h"

namespace jasminehatch::daemon {
namespace {

/// A failed read is retried after this time, which doubles with each further
/// failure. The platform charges for each call to the store, including rejected
/// ones.
constexpr std::chrono::milliseconds kInitialRetryDelay{250};
constexpr std::chrono::milliseconds kMaxRetryDelay{1200};

/// Each delay is drawn at random between this fraction of its length and the
/// full length, so that daemons that lost the store together do not retry
/// together.
constexpr double kMinDelayFraction = 0.6;

}  // namespace

TopicFollower::TopicFollower(asio::io_context& loop,
                             platform::StoreClient& store,
                             const Clock& clock,
                             Options options,
                             Callbacks callbacks)
    : m_store(store),
      m_clock(clock),
      m_options(std::move(options)),
      m_callbacks(std::move(callbacks)),
      m_timer(loop),
      m_retry_delay(kInitialRetryDelay) {}

void TopicFollower::ReadSnapshot() {
  const MonotonicTime sent_at = m_clock.Now();
  m_store.ReadNewest(m_options.topic,
                     [this, sent_at](const platform::StorePage& page) {
                       if (page.status != platform::StorePage::Status::kRead) {
                         OnReadFailed(page.detail);
                         Schedule(RetryDelay(), &TopicFollower::ReadSnapshot);
                         return;
                       }
                       OnReadSucceeded();
                       m_next_offset = page.end;
                       m_end_offset = m_next_offset;
                       m_callbacks.on_snapshot(page.records);
                       m_callbacks.on_caught_up(sent_at);
                       Schedule(m_options.pause, &TopicFollower::Read);
                     });
}

void TopicFollower::Read() {
  SendRead(m_options.max_wait, true);
}

void TopicFollower::ReadNow() {
  if (m_end_offset && !std::exchange(m_extra_read_pending, true)) {
    SendRead(std::chrono::milliseconds(0), false);
  }
}

void TopicFollower::SendRead(std::chrono::milliseconds wait,
                             bool schedule_next) {
  const MonotonicTime sent_at = m_clock.Now();
  m_store.Read(m_options.topic, m_next_offset, wait,
               [this, sent_at, schedule_next](const platform::StorePage& page) {
                 if (!schedule_next) {
                   m_extra_read_pending = false;
                 }
                 OnPage(page, sent_at, schedule_next);
               });
}

void TopicFollower::OnPage(const platform::StorePage& page,
                           MonotonicTime sent_at,
                           bool schedule_next) {
  switch (page.status) {
    case platform::StorePage::Status::kFailed:
      OnReadFailed(page.detail);
      if (schedule_next) {
        Schedule(RetryDelay(), &TopicFollower::Read);
      }
      return;
    case platform::StorePage::Status::kCompacted:
      OnReadSucceeded();
      if (schedule_next) {
        ReadSnapshot();
      }
      return;
    case platform::StorePage::Status::kRead:
      break;
  }
  OnReadSucceeded();
  Deliver(page);
  if (m_next_offset == page.end) {
    m_callbacks.on_caught_up(sent_at);
  }
  if (schedule_next) {
    // A page that ends before the newest record is followed by the next at
    // once.
    const bool more = m_next_offset < page.end;
    Schedule(more ? std::chrono::milliseconds(0) : m_options.pause,
             &TopicFollower::Read);
  }
}

void TopicFollower::Deliver(const platform::StorePage& page) {
  // Two concurrent reads may return the same records.
  const auto first = std::find_if(page.records.begin(), page.records.end(),
                                  [this](const platform::StoreRecord& r) {
                                    return r.offset >= m_next_offset;
                                  });
  if (first == page.records.end()) {
    return;
  }
  m_next_offset = page.records.back().offset + 1;
  m_end_offset = m_next_offset;
  m_callbacks.on_records({first, page.records.end()});
}

std::chrono::milliseconds TopicFollower::RetryDelay() {
  const std::chrono::milliseconds full_delay = m_retry_delay;
  m_retry_delay = std::min(m_retry_delay * 2, kMaxRetryDelay);
  const double fraction =
      std::uniform_real_distribution<double>(kMinDelayFraction, 1)(m_random);
  return std::chrono::duration_cast<std::chrono::milliseconds>(full_delay *
                                                               fraction);
}

void TopicFollower::OnReadSucceeded() {
  m_retry_delay = kInitialRetryDelay;
  const auto since = std::exchange(m_failing_since, std::nullopt);
  if (since) {
    m_outage_reported = false;
    m_callbacks.on_recovered(m_clock.Now() - *since);
  }
}

void TopicFollower::OnReadFailed(const std::string& detail) {
  if (!m_failing_since) {
    m_failing_since = m_clock.Now();
  }
  if (!std::exchange(m_outage_reported, true)) {
    m_callbacks.on_unavailable(detail);
  }
}

void TopicFollower::Schedule(std::chrono::milliseconds delay,
                             void (TopicFollower::*next)()) {
  m_timer.expires_after(delay);
  m_timer.async_wait([this, next](const asio::error_code& error) {
    if (!error) {
      (this->*next)();
    }
  });
}

}  // namespace jasminehatch::daemon
