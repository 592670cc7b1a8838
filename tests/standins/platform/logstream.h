#pragma once

#include <nlohmann/json.hpp>

#include <chrono>
#include <cstdint>
#include <deque>
#include <string>

namespace cowslippin::standins {

using Instant = std::chrono::steady_clock::time_point;

/// One append-only stream, in memory. Offsets start at 1 and have no gaps.
/// Not safe for use by several threads.
class LogStream
{
public:
  /// Returns the record's offset.
  std::uint64_t append(std::string body, Instant now);

  /// Drops records beyond the newest `count` (0 keeps all) and those appended
  /// before `oldest`.
  void retain(std::uint64_t count, Instant oldest);

  /// The oldest offset retained, or `end()` when there is none.
  std::uint64_t first() const;

  /// The offset that the next record will get.
  std::uint64_t end() const { return m_end; }

  /// A page of at most `limit` records from offset `from` on.
  nlohmann::json page(std::uint64_t from, std::uint64_t limit) const;

private:
  struct Record
  {
    std::string body;
    Instant appended;
  };

  std::deque<Record> m_records;
  std::uint64_t m_end = 1;
};

} // namespace cowslippin::standins
