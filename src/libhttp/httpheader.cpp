#include "httpheader.h"

#include <boost/beast/core/string.hpp>

#include <utility>

namespace cowslippin {

HttpHeader::HttpHeader(std::string name, std::string value)
  : m_name(std::move(name))
  , m_value(std::move(value))
{
}

bool
HttpHeader::isNamed(std::string_view name) const
{
  return boost::beast::iequals(m_name, { name.data(), name.size() });
}

std::optional<std::string>
findHeader(const HttpHeaders& headers, std::string_view name)
{
  for (const HttpHeader& header : headers) {
    if (header.isNamed(name)) {
      return header.value();
    }
  }
  return std::nullopt;
}

} // namespace cowslippin
