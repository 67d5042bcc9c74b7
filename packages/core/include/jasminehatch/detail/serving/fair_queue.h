#ifndef JASMINEHATCH_DETAIL_SERVING_FAIR_QUEUE_H_
#define JASMINEHATCH_DETAIL_SERVING_FAIR_QUEUE_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <list>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>

#include "jasminehatch/detail/base/strong_id.h"
#include "jasminehatch/detail/serving/priority.h"

namespace jasminehatch::serving {

/// @brief Fair queue of the requests that wait for one group of upstreams.
///
/// Higher priority classes are served first, but a waiting class is served
/// after it was passed over `kMaxPassedOver` times. Within a class, workspaces
/// share the upstreams by cost (start-time fair queueing), so that a workspace
/// with long prompts gets fewer turns. Within a workspace and class, the order
/// is FIFO.
class FairQueue {
 public:
  struct Item {
    RequestId request;
    std::string workspace;
    Priority priority = Priority::kInteractive;
    std::uint32_t cost = 1;  ///< Prompt tokens.
  };

  /// Times that a waiting class may be passed over for higher classes.
  static constexpr std::array<std::uint32_t, kPriorityCount> kMaxPassedOver{
      0, 8, 32};

  /// Logarithmic in the number of waiting workspaces.
  void Push(const Item& item);

  /// @brief Removes the next request.
  /// @return the request, or nothing if the queue is empty
  std::optional<RequestId> Pop();

  /// @return false if the request is not in the queue
  bool Remove(RequestId request);

  std::size_t Size() const { return m_positions.size(); }

  /// @return the number of requests of this class and of higher classes
  std::size_t SizeUpTo(Priority priority) const;
  std::size_t WorkspaceCount() const { return m_waiting_by_workspace.size(); }
  std::size_t Waiting(const std::string& workspace) const;

  /// @brief Finds the newest request in the lowest class of the workspace with
  /// the most waiting requests. Linear in the number of waiting workspaces,
  /// which is limited by the queue limit.
  /// @return the request and the number of waiting requests of its workspace
  std::optional<std::pair<RequestId, std::size_t>> NewestOfLargestWorkspace()
      const;

 private:
  /// @brief Requests of one workspace in one class. `start` is the virtual
  /// start time of its next request.
  struct Flow {
    double start = 0;
    std::list<Item> items;
  };
  struct Class {
    std::unordered_map<std::string, Flow> flows;
    std::set<std::pair<double, std::string>>
        flows_by_start;  ///< Flows with items.
    double virtual_time = 0;
    std::size_t size = 0;
    std::uint32_t passed_over = 0;
  };

  Class& ClassOf(Priority priority) {
    return m_classes.at(static_cast<std::size_t>(priority));
  }
  std::optional<std::size_t> NextClass() const;
  void RemoveFromIndex(const Item& item);
  static void PurgeIdleFlows(Class& priority_class);

  std::array<Class, kPriorityCount> m_classes;
  std::unordered_map<RequestId, std::list<Item>::iterator> m_positions;
  std::unordered_map<std::string, std::size_t> m_waiting_by_workspace;
};

}  // namespace jasminehatch::serving

#endif  // JASMINEHATCH_DETAIL_SERVING_FAIR_QUEUE_H_
