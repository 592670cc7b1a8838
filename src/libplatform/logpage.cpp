#include "logpage.h"

#include "libjson/json.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace cowslippin {

namespace {

constexpr ParseLimits pageLimits{ std::size_t(64) << 20, 8, 1'000'000 };
constexpr std::size_t maxRecords = 100'000;

Problem
malformed(const std::string& detail)
{
  return Problem(ProblemKind::PlatformUnavailable,
                 RunState::NotRun,
                 "the platform's log page is not valid: " + detail);
}

std::vector<LogRecord>
readRecords(const nlohmann::json& json)
{
  std::vector<LogRecord> records;
  for (const nlohmann::json& record : listFrom(json, maxRecords)) {
    records.emplace_back(
      integerFrom<Offset>(memberOf(record, "offset")),
      textFrom(memberOf(record, "body"), pageLimits.maxBytes));
  }
  return records;
}

/// What is wrong with the page as the answer to a read from `from`, or an
/// empty string.
std::string
faultOf(const LogPage& page, Offset from)
{
  if (page.first() < 1 || page.first() > page.end()) {
    return "its first offset is beyond its end";
  }
  if (page.end() < from) {
    return "the stream ends before the offset asked for";
  }
  Offset expected = std::max(from, page.first());
  for (const LogRecord& record : page.records()) {
    if (record.offset() != expected || expected >= page.end()) {
      return "its offsets are out of sequence";
    }
    ++expected;
  }
  if (page.records().empty() && expected < page.end()) {
    return "it leaves out the records that are there";
  }
  return {};
}

} // namespace

LogRecord::LogRecord(Offset offset, std::string body)
  : m_offset(offset)
  , m_body(std::move(body))
{
}

LogPage::LogPage(Offset first, Offset end, std::vector<LogRecord> records)
  : m_first(first)
  , m_end(end)
  , m_records(std::move(records))
{
}

Result<LogPage>
LogPage::parse(const std::string& body, Offset from)
{
  const auto json = parseJson(body, "log page", pageLimits);
  if (!json) {
    return failure(malformed(json.error().detail()));
  }
  try {
    LogPage page(integerFrom<Offset>(memberOf(*json, "first")),
                 integerFrom<Offset>(memberOf(*json, "end")),
                 readRecords(memberOf(*json, "records")));
    const std::string fault = faultOf(page, from);
    if (!fault.empty()) {
      return failure(malformed(fault));
    }
    return page;
  } catch (const InvalidJsonValue& error) {
    return failure(malformed(error.what()));
  }
}

} // namespace cowslippin
