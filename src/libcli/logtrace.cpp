#include "logtrace.h"

#include "jsontext.h"

#include <algorithm>
#include <istream>
#include <optional>
#include <sstream>

namespace cowslippin {

namespace {

using nlohmann::ordered_json;

/// Empty if there is no such member or it is no string.
std::string
stringMember(const ordered_json& line, const char* name)
{
  const auto found = line.find(name);
  return found != line.end() && found->is_string() ? found->get<std::string>()
                                                   : "";
}

/// Whether a field lists the job, or a task of it, among others.
bool
lists(const ordered_json& line, const char* field, const std::string& job)
{
  const auto found = line.find(field);
  if (found == line.end() || !found->is_string())
    return false;
  std::istringstream ids(found->get<std::string>());
  for (std::string id; ids >> id;) {
    if (id == job || id.rfind(job + '.', 0) == 0)
      return true;
  }
  return false;
}

bool
isAbout(const ordered_json& line, const std::string& job)
{
  const std::string task = stringMember(line, "task");
  return stringMember(line, "job") == job || task.rfind(job + '.', 0) == 0 ||
         lists(line, "tasks", job) || lists(line, "handedTo", job) ||
         lists(line, "heldFor", job);
}

/// The last word before the JSON.
std::string
processOf(const std::string& prefix, const std::string& logName)
{
  std::istringstream words(prefix);
  std::string word;
  std::string last;
  while (words >> word)
    last = word;
  return last.empty() ? logName : last;
}

std::optional<TraceLine>
readLine(const std::string& text,
         const std::string& logName,
         const std::string& job)
{
  const std::size_t begin = text.find('{');
  if (begin == std::string::npos)
    return std::nullopt;
  const auto parsed =
    parseOrderedJson(text.substr(begin), "log line", cliLimits);
  if (!parsed)
    return std::nullopt;
  const ordered_json& line = *parsed;
  if (!line.is_object() || !line.contains("event") || !isAbout(line, job))
    return std::nullopt;
  TraceLine trace;
  trace.time = stringMember(line, "time");
  trace.process = processOf(text.substr(0, begin), logName);
  trace.event = stringMember(line, "event");
  for (const auto& [name, value] : line.items()) {
    const bool isShown =
      name != "time" && name != "level" && name != "event" && name != "job";
    const bool isEmptyText =
      value.is_string() && value.get_ref<const std::string&>().empty();
    if (!isShown || isEmptyText)
      continue;
    trace.fields +=
      (trace.fields.empty() ? "" : " ") + name + '=' +
      (value.is_string() ? value.get<std::string>() : writeOrderedJson(value));
  }
  return trace;
}

} // namespace

std::vector<TraceLine>
readTrace(std::istream& log, const std::string& logName, const std::string& job)
{
  std::vector<TraceLine> lines;
  std::string text;
  while (std::getline(log, text)) {
    if (auto line = readLine(text, logName, job))
      lines.push_back(std::move(*line));
  }
  return lines;
}

std::string
renderTrace(std::vector<TraceLine> lines)
{
  std::stable_sort(
    lines.begin(), lines.end(), [](const TraceLine& a, const TraceLine& b) {
      return a.time < b.time;
    });
  std::size_t processWidth = 0;
  std::size_t eventWidth = 0;
  for (const TraceLine& line : lines) {
    processWidth = std::max(processWidth, line.process.size());
    eventWidth = std::max(eventWidth, line.event.size());
  }
  std::ostringstream text;
  for (const TraceLine& line : lines) {
    std::string process = line.process;
    std::string event = line.event;
    process.resize(processWidth, ' ');
    event.resize(eventWidth, ' ');
    text << line.time << "  " << process << "  " << event << "  " << line.fields
         << '\n';
  }
  return text.str();
}

} // namespace cowslippin
