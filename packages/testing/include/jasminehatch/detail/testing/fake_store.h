#ifndef JASMINEHATCH_DETAIL_TESTING_FAKE_STORE_H_
#define JASMINEHATCH_DETAIL_TESTING_FAKE_STORE_H_

#include <algorithm>
#include <cstdint>
#include <functional>
#include <span>
#include <string>
#include <unordered_set>

#include "jasminehatch/detail/base/digest.h"
#include "jasminehatch/detail/testing/event_queue.h"

namespace jasminehatch::testing {

/// @brief One tier of a cache store: its blocks and a link that carries
/// transfers one after the other.
class FakeStore {
 public:
  FakeStore(EventQueue& queue,
            std::string zone,
            double bytes_per_second,
            bool disk)
      : m_queue(queue),
        m_zone(std::move(zone)),
        m_bytes_per_second(bytes_per_second),
        m_disk(disk) {}

  /// Called with whether all bytes arrived, and with the bytes that moved.
  using Done = std::function<void(bool arrived, double bytes)>;

  /// Moves bytes over the link; gives up after `timeout` seconds.
  void Transfer(double bytes, double timeout, Done done) {
    const double wait = WaitSeconds();
    const double seconds = wait + bytes / m_bytes_per_second;
    if (!m_alive || seconds > timeout) {
      // A transfer that times out uses the link until then.
      const double used = m_alive ? std::max(0.0, timeout - wait) : 0;
      m_busy_until = m_queue.Seconds() + wait + used;
      m_queue.After(timeout, [moved = used * m_bytes_per_second,
                              done = std::move(done)] { done(false, moved); });
      return;
    }
    m_busy_until = m_queue.Seconds() + seconds;
    m_queue.After(seconds, [this, bytes, done = std::move(done)] {
      done(m_alive, bytes);
    });
  }

  /// @return seconds until the transfers on the link are done
  double WaitSeconds() const {
    return std::max(0.0, m_busy_until - m_queue.Seconds());
  }

  std::uint32_t PrefixBlocks(std::span<const BlockKey> keys) const {
    std::uint32_t blocks = 0;
    while (blocks < keys.size() && m_blocks.contains(keys[blocks])) {
      ++blocks;
    }
    return m_alive ? blocks : 0;
  }

  std::unordered_set<BlockKey>& Blocks() { return m_blocks; }
  const std::string& Zone() const { return m_zone; }
  bool IsDisk() const { return m_disk; }
  bool IsAlive() const { return m_alive; }
  void SetAlive(bool alive) { m_alive = alive; }
  double BytesPerSecond() const { return m_bytes_per_second; }
  void SetBytesPerSecond(double rate) { m_bytes_per_second = rate; }

 private:
  EventQueue& m_queue;
  std::string m_zone;
  double m_bytes_per_second;
  double m_busy_until = 0;
  bool m_disk;
  bool m_alive = true;
  std::unordered_set<BlockKey> m_blocks;
};

}  // namespace jasminehatch::testing

#endif  // JASMINEHATCH_DETAIL_TESTING_FAKE_STORE_H_
