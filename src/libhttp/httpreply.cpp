#include "httpreply.h"

#include <tuple>
#include <utility>

namespace cowslippin {

HttpReply::HttpReply(Fields fields)
  : m_fields(std::move(fields))
{
}

HttpReply
HttpReply::json(int status, std::string body)
{
  Fields fields;
  fields.status = status;
  fields.contentType = "application/json";
  fields.body = std::move(body);
  return HttpReply(std::move(fields));
}

std::optional<std::string>
HttpReply::header(std::string_view name) const
{
  return findHeader(m_fields.headers, name);
}

HttpReply
HttpReply::withHeader(std::string name, std::string value) const
{
  HttpReply copy = *this;
  copy.m_fields.headers.emplace_back(std::move(name), std::move(value));
  return copy;
}

bool
operator==(const HttpReply& a, const HttpReply& b)
{
  const auto tied = [](const HttpReply::Fields& f) {
    return std::tie(f.status, f.contentType, f.body, f.headers);
  };
  return tied(a.m_fields) == tied(b.m_fields);
}

} // namespace cowslippin
