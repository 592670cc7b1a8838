#pragma once

#include "libcore/core.h"

#include <string>
#include <vector>

namespace cowslippin {

/// One record of a stream.
class LogRecord
{
public:
  LogRecord(Offset offset, std::string body);

  Offset offset() const { return m_offset; }
  const std::string& body() const { return m_body; }

  friend bool operator==(const LogRecord& a, const LogRecord& b)
  {
    return a.m_offset == b.m_offset && a.m_body == b.m_body;
  }
  friend bool operator!=(const LogRecord& a, const LogRecord& b)
  {
    return !(a == b);
  }

private:
  Offset m_offset;
  std::string m_body;
};

/// What one read of a stream returned.
class LogPage
{
public:
  /// `records` are consecutive and lie between `first` and `end`.
  LogPage(Offset first, Offset end, std::vector<LogRecord> records);

  /// Reads the platform's answer to a read that asked for records from
  /// `from` on. Anything that is no such answer is a problem: a bad body,
  /// records out of sequence, or a stream that ends before `from`.
  static Result<LogPage> parse(const std::string& body, Offset from);

  /// The oldest offset that the platform still retains.
  Offset first() const { return m_first; }

  /// The offset that the next record of the stream will get.
  Offset end() const { return m_end; }

  const std::vector<LogRecord>& records() const { return m_records; }

  friend bool operator==(const LogPage& a, const LogPage& b)
  {
    return a.m_first == b.m_first && a.m_end == b.m_end &&
           a.m_records == b.m_records;
  }
  friend bool operator!=(const LogPage& a, const LogPage& b)
  {
    return !(a == b);
  }

private:
  Offset m_first;
  Offset m_end;
  std::vector<LogRecord> m_records;
};

} // namespace cowslippin
