#ifndef JASMINEHATCH_REVIEW_TESTS_RECORD_H_
#define JASMINEHATCH_REVIEW_TESTS_RECORD_H_

#include <cstdio>
#include <fstream>
#include <iostream>
#include <mutex>
#include <string>

#include "http.h"

namespace jasminehatch::review {

/// @brief Writes what happened, with the time since the start, to `record.txt`.
class Record {
 public:
  explicit Record(const std::string& path) : m_file(path) {}

  void Line(const std::string& text) {
    const std::lock_guard lock(m_mutex);
    const double seconds =
        std::chrono::duration<double>(Clock::now() - m_start).count();
    char time[16];
    std::snprintf(time, sizeof(time), "%8.3f  ", seconds);
    m_file << time << text << std::endl;
  }

  double Seconds(Clock::time_point at) const {
    return std::chrono::duration<double>(at - m_start).count();
  }

 private:
  std::mutex m_mutex;
  std::ofstream m_file;
  Clock::time_point m_start = Clock::now();
};

}  // namespace jasminehatch::review

#endif  // JASMINEHATCH_REVIEW_TESTS_RECORD_H_
