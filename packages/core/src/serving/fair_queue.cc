#include "jasminehatch/detail/serving/fair_queue.h"

#include <algorithm>
#include <tuple>

namespace jasminehatch::serving {

void FairQueue::Push(const Item& item) {
  Class& priority_class = ClassOf(item.priority);
  Flow& flow = priority_class.flows[item.workspace];
  if (flow.items.empty()) {
    // An idle workspace does not accumulate turns.
    flow.start = std::max(flow.start, priority_class.virtual_time);
    priority_class.flows_by_start.emplace(flow.start, item.workspace);
  }
  m_positions[item.request] = flow.items.insert(flow.items.end(), item);
  ++m_waiting_by_workspace[item.workspace];
  ++priority_class.size;
}

std::optional<std::size_t> FairQueue::NextClass() const {
  std::optional<std::size_t> next;
  for (std::size_t i = 0; i < kPriorityCount; ++i) {
    const Class& candidate = m_classes.at(i);
    if (candidate.flows_by_start.empty()) {
      continue;
    }
    if (!next || candidate.passed_over >= kMaxPassedOver.at(i)) {
      next = i;
    }
  }
  return next;
}

std::optional<RequestId> FairQueue::Pop() {
  const auto next = NextClass();
  if (!next) {
    return std::nullopt;
  }
  Class& priority_class = m_classes.at(*next);
  priority_class.passed_over = 0;
  for (std::size_t i = *next + 1; i < kPriorityCount; ++i) {
    m_classes.at(i).passed_over +=
        m_classes.at(i).flows_by_start.empty() ? 0 : 1;
  }
  const auto first = priority_class.flows_by_start.extract(
      priority_class.flows_by_start.begin());
  Flow& flow = priority_class.flows.find(first.value().second)->second;
  const Item item = flow.items.front();
  flow.items.pop_front();
  priority_class.virtual_time = flow.start;
  flow.start += std::max<std::uint32_t>(1, item.cost);
  if (!flow.items.empty()) {
    priority_class.flows_by_start.emplace(flow.start, item.workspace);
  }
  PurgeIdleFlows(priority_class);
  RemoveFromIndex(item);
  return item.request;
}

bool FairQueue::Remove(RequestId request) {
  const auto place = m_positions.find(request);
  if (place == m_positions.end()) {
    return false;
  }
  const Item item = *place->second;
  Class& priority_class = ClassOf(item.priority);
  Flow& flow = priority_class.flows.find(item.workspace)->second;
  flow.items.erase(place->second);
  if (flow.items.empty()) {
    priority_class.flows_by_start.erase({flow.start, item.workspace});
  }
  RemoveFromIndex(item);
  return true;
}

std::size_t FairQueue::SizeUpTo(Priority priority) const {
  std::size_t size = 0;
  for (std::size_t i = 0; i <= static_cast<std::size_t>(priority); ++i) {
    size += m_classes.at(i).size;
  }
  return size;
}

std::size_t FairQueue::Waiting(const std::string& workspace) const {
  const auto entry = m_waiting_by_workspace.find(workspace);
  return entry == m_waiting_by_workspace.end() ? 0 : entry->second;
}

std::optional<std::pair<RequestId, std::size_t>>
FairQueue::NewestOfLargestWorkspace() const {
  const auto largest = std::max_element(
      m_waiting_by_workspace.begin(), m_waiting_by_workspace.end(),
      [](const auto& a, const auto& b) {
        // Ties are broken by name, so that the choice does not depend on the
        // order of the hash table.
        return std::tie(a.second, a.first) < std::tie(b.second, b.first);
      });
  if (largest == m_waiting_by_workspace.end()) {
    return std::nullopt;
  }
  for (auto priority_class = m_classes.rbegin();
       priority_class != m_classes.rend(); ++priority_class) {
    const auto flow = priority_class->flows.find(largest->first);
    if (flow != priority_class->flows.end() && !flow->second.items.empty()) {
      return std::pair(flow->second.items.back().request, largest->second);
    }
  }
  return std::nullopt;
}

void FairQueue::RemoveFromIndex(const Item& item) {
  m_positions.erase(item.request);
  --ClassOf(item.priority).size;
  const auto waiting = m_waiting_by_workspace.find(item.workspace);
  if (--waiting->second == 0) {
    m_waiting_by_workspace.erase(waiting);
  }
}

void FairQueue::PurgeIdleFlows(Class& priority_class) {
  // An idle flow keeps its start time until the virtual time has passed it;
  // otherwise a workspace that never has two requests waiting would not be
  // charged for any of them. The factor makes the scan rare.
  if (priority_class.flows.size() < 64 ||
      priority_class.flows.size() < 4 * priority_class.flows_by_start.size()) {
    return;
  }
  std::erase_if(priority_class.flows, [&](const auto& entry) {
    return entry.second.items.empty() &&
           (priority_class.flows_by_start.empty() ||
            entry.second.start <= priority_class.virtual_time);
  });
}

}  // namespace jasminehatch::serving
