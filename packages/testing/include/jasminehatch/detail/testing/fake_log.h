#ifndef JASMINEHATCH_DETAIL_TESTING_FAKE_LOG_H_
#define JASMINEHATCH_DETAIL_TESTING_FAKE_LOG_H_

#include <cstddef>
#include <utility>
#include <vector>

#include "jasminehatch/detail/booking/log_entry.h"

namespace jasminehatch::testing {

/// @brief The booking stream of a simulation, kept in memory.
class FakeLog {
 public:
  using Record = std::vector<booking::LogEntry>;

  void Append(Record record) { m_records.push_back(std::move(record)); }

  /// @return number of records
  std::size_t End() const { return m_records.size(); }

  const Record& At(std::size_t offset) const { return m_records.at(offset); }

  bool HasOutage() const { return m_outage; }
  void SetOutage(bool outage) { m_outage = outage; }

 private:
  std::vector<Record> m_records;
  bool m_outage = false;
};

}  // namespace jasminehatch::testing

#endif  // JASMINEHATCH_DETAIL_TESTING_FAKE_LOG_H_
