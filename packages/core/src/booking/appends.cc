#include <iterator>
#include <string_view>
#include <utility>

#include "jasminehatch/detail/booking/batcher.h"
#include "reducer.h"

namespace jasminehatch::booking {

void Reducer::Enqueue(LogEntry entry) {
  m_state.batch.push_back(std::move(entry));
  ScheduleBatch();
}

void Reducer::ScheduleBatch() {
  if (m_state.batch.size() + m_state.handoff_entries.size() >=
      m_state.options.batch_limit) {
    FlushBatch();
  } else if (!m_state.batch_due) {
    m_state.batch_due = m_now + m_state.options.batch_interval;
  }
}

void Reducer::FlushBatch() {
  m_state.batch_due.reset();
  PendingAppend append;
  append.entries = std::exchange(m_state.batch, {});
  append.own_entries = append.entries.size();
  append.handoffs = std::exchange(m_state.handoffs, {});
  // Entries are handed off only once: while their views of the zone differ, two
  // daemons may each choose the other as the batcher.
  append.direct = m_state.batcher.empty() || !append.handoffs.empty();
  std::move(m_state.handoff_entries.begin(), m_state.handoff_entries.end(),
            std::back_inserter(append.entries));
  m_state.handoff_entries.clear();
  if (append.entries.empty() && append.handoffs.empty()) {
    return;
  }
  const AppendId id{m_state.next_append++};
  StartAppend(m_state.appends.emplace(id, std::move(append)).first);
}

void Reducer::StartAppend(AppendIterator append) {
  PendingAppend& pending = append->second;
  AppendEntries effect{append->first, pending.entries, {}};
  if (!pending.direct) {
    effect.via = m_state.batcher;
  }
  SetTimer(pending.timer,
           pending.direct
               ? std::nullopt
               : std::optional(m_now + m_state.options.batcher_timeout),
           Timer::Kind::kAppend, append->first.value);
  m_effects.emplace_back(std::move(effect));
}

void Reducer::OnAppendTimer(AppendIterator append) {
  append->second.direct = true;
  StartAppend(append);
}

void Reducer::ReplyToHandoffs(PendingAppend& append, AppendResult result) {
  for (const HandoffId handoff : std::exchange(append.handoffs, {})) {
    m_effects.emplace_back(ReplyToHandoff{handoff, result});
  }
}

void Reducer::Apply(const AppendEnded& event) {
  const auto append = m_state.appends.find(event.append);
  if (append == m_state.appends.end()) {
    return;
  }
  PendingAppend& pending = append->second;
  ReplyToHandoffs(pending, event.result);
  if (event.result == AppendResult::kUnknown) {
    Count(Counter::kBookingAppendUnknown);
  }
  // Daemons that handed off entries retry them on their own.
  pending.entries.resize(pending.own_entries);
  if (event.result == AppendResult::kAppended || pending.entries.empty()) {
    SetTimer(pending.timer, std::nullopt, Timer::Kind::kAppend,
             append->first.value);
    m_state.appends.erase(append);
  } else if (!pending.direct) {
    OnAppendTimer(append);
  } else {
    SetTimer(pending.timer, m_now + m_state.options.append_retry,
             Timer::Kind::kAppend, append->first.value);
  }
}

void Reducer::Apply(const ZoneChanged& event) {
  const std::string_view batcher = ChooseBatcher(event.zone, event.daemons);
  m_state.batcher = batcher == m_state.daemon ? "" : std::string(batcher);
}

void Reducer::Apply(const HandoffReceived& event) {
  if (m_state.shutting_down) {
    m_effects.emplace_back(
        ReplyToHandoff{event.handoff, AppendResult::kNotAppended});
    return;
  }
  m_state.handoffs.push_back(event.handoff);
  m_state.handoff_entries.insert(m_state.handoff_entries.end(),
                                 event.entries.begin(), event.entries.end());
  ScheduleBatch();
}

}  // namespace jasminehatch::booking
