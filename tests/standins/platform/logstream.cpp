#include "logstream.h"

#include <algorithm>
#include <utility>

namespace cowslippin::standins {

std::uint64_t
LogStream::append(std::string body, Instant now)
{
  m_records.push_back({ std::move(body), now });
  return m_end++;
}

void
LogStream::retain(std::uint64_t count, Instant oldest)
{
  while (count > 0 && m_records.size() > count) {
    m_records.pop_front();
  }
  while (!m_records.empty() && m_records.front().appended < oldest) {
    m_records.pop_front();
  }
}

std::uint64_t
LogStream::first() const
{
  return m_end - m_records.size();
}

nlohmann::json
LogStream::page(std::uint64_t from, std::uint64_t limit) const
{
  nlohmann::json records = nlohmann::json::array();
  const std::uint64_t start = std::max(from, first());
  for (std::uint64_t offset = start; offset < m_end; ++offset) {
    if (records.size() >= limit) {
      break;
    }
    const Record& record = m_records[offset - first()];
    records.push_back({ { "offset", offset }, { "body", record.body } });
  }
  return { { "first", first() }, { "end", m_end }, { "records", records } };
}

} // namespace cowslippin::standins
