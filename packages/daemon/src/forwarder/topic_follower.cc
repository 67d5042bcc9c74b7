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
constexpr std::chrono::milliseconds kRetryDelay{250};
constexpr std::chrono::milliseconds kMaxRetryDelay{1200};

/// Delays are drawn between this fraction of their length and the full length,
/// so that daemons that lost the store together do not retry together.
constexpr double kLeastDelayShare = 0.6;

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
      m_retry_delay(kRetryDelay) {}

void TopicFollower::List() {
  const MonotonicTime sent_at = m_clock.Now();
  m_store.ReadNewest(m_options.topic,
                     [this, sent_at](const platform::StorePage& page) {
                       if (page.status != platform::StorePage::Status::kRead) {
                         NoteFailure(page.detail);
                         After(RetryDelay(), &TopicFollower::List);
                         return;
                       }
                       NoteSuccess();
                       m_next = page.end;
                       m_end = m_next;
                       m_callbacks.on_listed(page.records);
                       m_callbacks.on_caught_up(sent_at);
                       After(m_options.pause, &TopicFollower::Read);
                     });
}

void TopicFollower::Read() {
  ReadOn(m_options.wait, true);
}

void TopicFollower::ReadNow() {
  if (m_end && !std::exchange(m_reading_now, true)) {
    ReadOn(std::chrono::milliseconds(0), false);
  }
}

void TopicFollower::ReadOn(std::chrono::milliseconds wait, bool chained) {
  const MonotonicTime sent_at = m_clock.Now();
  m_store.Read(m_options.topic, m_next, wait,
               [this, sent_at, chained](const platform::StorePage& page) {
                 if (!chained) {
                   m_reading_now = false;
                 }
                 OnPage(page, sent_at, chained);
               });
}

void TopicFollower::OnPage(const platform::StorePage& page,
                           MonotonicTime sent_at,
                           bool chained) {
  switch (page.status) {
    case platform::StorePage::Status::kFailed:
      NoteFailure(page.detail);
      if (chained) {
        After(RetryDelay(), &TopicFollower::Read);
      }
      return;
    case platform::StorePage::Status::kCompacted:
      NoteSuccess();
      if (chained) {
        List();
      }
      return;
    case platform::StorePage::Status::kRead:
      break;
  }
  NoteSuccess();
  Deliver(page);
  if (m_next == page.end) {
    m_callbacks.on_caught_up(sent_at);
  }
  if (chained) {
    // A page that ends before the newest record is followed by the next at
    // once.
    const bool more = m_next < page.end;
    After(more ? std::chrono::milliseconds(0) : m_options.pause,
          &TopicFollower::Read);
  }
}

void TopicFollower::Deliver(const platform::StorePage& page) {
  // Two concurrent reads may return the same records.
  const auto first = std::find_if(
      page.records.begin(), page.records.end(),
      [this](const platform::StoreRecord& r) { return r.offset >= m_next; });
  if (first == page.records.end()) {
    return;
  }
  m_next = page.records.back().offset + 1;
  m_end = m_next;
  m_callbacks.on_records({first, page.records.end()});
}

std::chrono::milliseconds TopicFollower::RetryDelay() {
  const std::chrono::milliseconds whole = m_retry_delay;
  m_retry_delay = std::min(m_retry_delay * 2, kMaxRetryDelay);
  const double share =
      std::uniform_real_distribution<double>(kLeastDelayShare, 1)(m_random);
  return std::chrono::duration_cast<std::chrono::milliseconds>(whole * share);
}

void TopicFollower::NoteSuccess() {
  m_retry_delay = kRetryDelay;
  const auto since = std::exchange(m_failing_since, std::nullopt);
  if (since) {
    m_reported_lost = false;
    m_callbacks.on_regained(m_clock.Now() - *since);
  }
}

void TopicFollower::NoteFailure(const std::string& detail) {
  if (!m_failing_since) {
    m_failing_since = m_clock.Now();
  }
  if (!std::exchange(m_reported_lost, true)) {
    m_callbacks.on_lost(detail);
  }
}

void TopicFollower::After(std::chrono::milliseconds delay,
                          void (TopicFollower::*next)()) {
  m_timer.expires_after(delay);
  m_timer.async_wait([this, next](const asio::error_code& error) {
    if (!error) {
      (this->*next)();
    }
  });
}

}  // namespace jasminehatch::daemon
