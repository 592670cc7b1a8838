#include "router.h"

#include "problemreply.h"

#include <algorithm>
#include <utility>

namespace cowslippin {

namespace {

std::vector<std::string>
splitPath(std::string_view path)
{
  std::vector<std::string> segments;
  while (!path.empty()) {
    path.remove_prefix(1);
    const std::string_view segment = path.substr(0, path.find('/'));
    segments.emplace_back(segment);
    path.remove_prefix(segment.size());
  }
  return segments;
}

bool
isParameter(const std::string& segment)
{
  return segment.size() > 2 && segment.front() == '{' && segment.back() == '}';
}

bool
matches(const std::string& pattern, const std::string& segment)
{
  return isParameter(pattern) ? !segment.empty() : pattern == segment;
}

bool
matches(const std::vector<std::string>& pattern,
        const std::vector<std::string>& segments)
{
  return std::equal(
    pattern.begin(),
    pattern.end(),
    segments.begin(),
    segments.end(),
    [](const std::string& a, const std::string& b) { return matches(a, b); });
}

PathParameters
readParameters(const std::vector<std::string>& pattern,
               const std::vector<std::string>& segments)
{
  PathParameters parameters;
  for (std::size_t i = 0; i < pattern.size(); ++i) {
    if (isParameter(pattern[i])) {
      const std::string name = pattern[i].substr(1, pattern[i].size() - 2);
      parameters.add(name, segments[i]);
    }
  }
  return parameters;
}

HttpReply
unknownPath(const HttpRequest& request)
{
  return problemReply(Problem(ProblemKind::UnknownPath,
                              RunState::NotRun,
                              "nothing is served at " + request.path()));
}

HttpReply
wrongMethod(const HttpRequest& request, const std::string& allowed)
{
  const Problem problem(ProblemKind::WrongMethod,
                        RunState::NotRun,
                        request.method() + " is not allowed at " +
                          request.path() + "; allowed is " + allowed);
  return problemReply(problem).withHeader("Allow", allowed);
}

} // namespace

void
Router::add(std::string method, std::string_view pattern, Handler handler)
{
  m_routes.push_back(
    { std::move(method), splitPath(pattern), std::move(handler) });
}

HttpReply
Router::reply(const HttpRequest& request) const
{
  const std::vector<std::string> segments = splitPath(request.path());
  std::string allowed;
  for (const Route& route : m_routes) {
    if (!matches(route.segments, segments)) {
      continue;
    }
    if (route.method == request.method()) {
      return route.handler(request, readParameters(route.segments, segments));
    }
    allowed += (allowed.empty() ? "" : ", ") + route.method;
  }
  return allowed.empty() ? unknownPath(request) : wrongMethod(request, allowed);
}

} // namespace cowslippin
