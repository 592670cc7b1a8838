#include "logline.h"

#include "logging.h"

#include "libcore/displaytext.h"
#include "libjson/json.h"

#include <algorithm>
#include <array>
#include <cstdio>

namespace cowslippin {

namespace {

/// A text may contain what another program wrote, so a line has a bound only if
/// each text has one.
void
appendValue(std::string& text, const std::string& value)
{
  if (value.size() <= maxLogTextBytes && isUtf8(value))
    appendJson(text, std::string_view(value));
  else
    appendJson(text, std::string_view(displayText(value, maxLogTextBytes)));
}

void
appendValue(std::string& text, bool value)
{
  text += value ? "true" : "false";
}

template<class T>
void
appendValue(std::string& text, T value)
{
  appendJson(text, value);
}

/// Whether an earlier member of the line has the name of this field.
bool
isNameTaken(const LogField& field, const LogField* first)
{
  const std::string& name = field.name();
  return name == "time" || name == "level" || name == "event" ||
         std::any_of(first, &field, [&](const LogField& earlier) {
           return earlier.name() == name;
         });
}

} // namespace

void
LogLineFormatter::append(std::string& text,
                         std::chrono::system_clock::time_point time,
                         LogLevel level,
                         const char* event,
                         std::initializer_list<LogField> fields)
{
  text += R"({"time":")";
  appendTime(text, time);
  text += R"(","level":)";
  appendJson(text, std::string_view(toString(level)));
  text += R"(,"event":)";
  appendJson(text, std::string_view(event));
  for (const LogField& field : fields) {
    if (isNameTaken(field, fields.begin()))
      continue;
    text += ',';
    appendJson(text, std::string_view(field.name()));
    text += ':';
    std::visit([&](const auto& value) { appendValue(text, value); },
               field.value());
  }
  text += '}';
}

void
LogLineFormatter::appendTime(std::string& text,
                             std::chrono::system_clock::time_point time)
{
  using namespace std::chrono;
  const auto sinceEpoch = duration_cast<milliseconds>(time.time_since_epoch());
  const std::time_t second = system_clock::to_time_t(time);
  if (m_secondText.empty() || second != m_second) {
    std::tm utc{};
    gmtime_r(&second, &utc);
    std::array<char, 40> digits{};
    const std::size_t length =
      std::strftime(digits.data(), digits.size(), "%Y-%m-%dT%H:%M:%S", &utc);
    m_secondText.assign(digits.data(), length);
    m_second = second;
  }
  std::array<char, 12> fraction{};
  std::snprintf(fraction.data(),
                fraction.size(),
                ".%03dZ",
                static_cast<int>(sinceEpoch.count() % 1000));
  text += m_secondText;
  text += fraction.data();
}

} // namespace cowslippin
