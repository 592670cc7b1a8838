#include "httprequest.h"

#include "urlencoding.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace cowslippin {

HttpRequest::HttpRequest(Fields fields)
  : m_fields(std::move(fields))
{
}

std::optional<std::string>
HttpRequest::header(std::string_view name) const
{
  return findHeader(m_fields.headers, name);
}

std::optional<std::string>
HttpRequest::queryParameter(std::string_view name) const
{
  std::string_view rest = m_fields.query;
  while (!rest.empty()) {
    const std::string_view parameter = rest.substr(0, rest.find('&'));
    rest.remove_prefix(std::min(rest.size(), parameter.size() + 1));
    const std::size_t equals = parameter.find('=');
    const auto key = decodeQueryText(parameter.substr(0, equals));
    if (key != name) {
      continue;
    }
    if (equals == std::string_view::npos) {
      return std::string();
    }
    return decodeQueryText(parameter.substr(equals + 1))
      .value_or(std::string());
  }
  return std::nullopt;
}

bool
operator==(const HttpRequest& a, const HttpRequest& b)
{
  const auto tied = [](const HttpRequest::Fields& f) {
    return std::tie(f.method, f.path, f.query, f.headers, f.body);
  };
  return tied(a.m_fields) == tied(b.m_fields);
}

} // namespace cowslippin
