#ifndef JASMINEHATCH_DETAIL_EMULATOR_PLATFORM_EMULATOR_H_
#define JASMINEHATCH_DETAIL_EMULATOR_PLATFORM_EMULATOR_H_

#include <asio/steady_timer.hpp>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "jasminehatch/detail/http/http_message.h"

namespace asio {
class io_context;
}

namespace jasminehatch::net {
class HttpServer;
class ResponseWriter;
}  // namespace jasminehatch::net

namespace jasminehatch::emulator {

/// @brief Emulates the metadata store of the users' platform: a log of records
/// per topic with long-poll reads, the newest records by key, conditional
/// appends, compaction and outages.
class PlatformEmulator {
 public:
  explicit PlatformEmulator(asio::io_context& loop);
  ~PlatformEmulator();
  PlatformEmulator(const PlatformEmulator&) = delete;
  PlatformEmulator& operator=(const PlatformEmulator&) = delete;

  /// @return `ip:port` of the store
  std::string Address() const;

  /// Writes a record of a keyed topic; an empty value removes the key.
  void Put(const std::string& topic,
           const std::string& key,
           const std::string& value);

  /// Writes a record whose content need not have a key.
  void PutRaw(const std::string& topic, const std::string& content) {
    AddRecord(topic, content);
  }

  /// Writes a configuration, as the operators do.
  void PutConfiguration(const std::string& configuration);

  /// Writes the registry entry of an upstream; an empty entry removes it.
  void PutUpstream(const std::string& id, const std::string& entry);

  /// Compacts the topics of the operators and of the registry.
  void CompactAll();

  /// Drops the records of a topic; the newest record of each key stays
  /// readable.
  void Compact(const std::string& topic);

  /// Makes the store come back from an older copy in which a topic ends at the
  /// offset `end`: drops the later records and raises the epoch, which each
  /// response names. Reads that wait for a record are rejected. All other
  /// topics stay as they are.
  void RestoreOlderCopy(const std::string& topic, std::uint64_t end);

  /// Copies all topics at this interval from now on, for
  /// `RestoreOlderCopyOfAll`.
  /// @param retention copies that are older than this are dropped
  void KeepCopies(std::chrono::milliseconds interval,
                  std::chrono::milliseconds retention);

  /// Makes the store come back from a copy of all topics: the newest one that
  /// is at least this old, or else the oldest one. A copy may stem from before
  /// an earlier call. Raises the epoch, and rejects reads that wait for a
  /// record. Needs a copy that `KeepCopies` took.
  void RestoreOlderCopyOfAll(std::chrono::milliseconds age);

  /// Makes the reads that wait for a record wait for ever, as on connections
  /// that have gone silent.
  void SilencePendingReads();

  /// @return the offset after the newest record of a topic
  std::uint64_t End(const std::string& topic) const;

  /// @return the offset after the newest record of the operators
  std::uint64_t OperatorEnd() const;

  /// @return how often records of a topic were read from an offset on
  std::uint64_t ReadCount(const std::string& topic) const;

  /// @return the number of reads that wait for a record
  std::size_t PendingReadCount() const { return m_pending_reads.size(); }

  /// While the store is down, each call gets status 503.
  void SetDown(bool down) { m_down = down; }

  /// While a topic is down, each call for it gets status 503.
  void SetTopicDown(const std::string& topic, bool down) {
    m_topics[topic].down = down;
  }

  /// Calls that arrived so far.
  std::uint64_t CallCount() const { return m_calls; }

 private:
  struct Topic {
    std::uint64_t first = 0;
    /// Records from offset `first` on, without length prefix.
    std::vector<std::string> records;
    std::map<std::string, std::pair<std::uint64_t, std::string>> newest;
    std::uint64_t reads = 0;
    bool down = false;

    std::uint64_t End() const { return first + records.size(); }
  };

  /// All topics as they were at some time.
  struct Copy {
    std::chrono::steady_clock::time_point taken_at;
    std::map<std::string, Topic> topics;
  };

  /// A read that waits for a record.
  struct PendingRead {
    std::string topic;
    std::uint64_t from = 0;
    std::shared_ptr<net::ResponseWriter> writer;
    std::shared_ptr<asio::steady_timer> timer;
  };

  void Handle(const net::HttpRequest& request,
              const std::shared_ptr<net::ResponseWriter>& writer);
  void Send(net::ResponseWriter& writer,
            int status,
            const std::string& body) const;
  void Read(const net::HttpRequest& request,
            const std::shared_ptr<net::ResponseWriter>& writer);
  void ReadNewest(const net::HttpRequest& request, net::ResponseWriter& writer);
  void Append(const net::HttpRequest& request, net::ResponseWriter& writer);
  void AddRecord(const std::string& topic, const std::string& content);
  static void UpdateNewest(Topic& topic, std::uint64_t offset);
  void RejectPendingReads();
  void TakeCopy(std::chrono::milliseconds interval,
                std::chrono::milliseconds retention);
  void SendPage(net::ResponseWriter& writer,
                const Topic& topic,
                std::uint64_t from) const;
  void CompletePendingReads(const std::string& topic);

  asio::io_context& m_loop;
  std::unique_ptr<net::HttpServer> m_server;
  std::map<std::string, Topic> m_topics;
  std::vector<std::shared_ptr<PendingRead>> m_pending_reads;
  std::vector<std::shared_ptr<PendingRead>> m_silent_reads;
  std::deque<Copy> m_copies;  ///< Oldest first.
  asio::steady_timer m_copy_timer;
  std::uint64_t m_calls = 0;
  std::uint64_t m_epoch = 1;
  bool m_down = false;
};

}  // namespace jasminehatch::emulator

#endif  // JASMINEHATCH_DETAIL_EMULATOR_PLATFORM_EMULATOR_H_
