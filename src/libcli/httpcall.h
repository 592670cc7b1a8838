#pragma once

#include "httpcallheader.h"

#include <vector>

namespace cowslippin {

/// A request to a daemon's HTTP interface.
class HttpCall
{
public:
  struct Fields
  {
    std::string method = "GET";
    std::string path;
    /// Without the question mark.
    std::string query;
    std::vector<HttpCallHeader> headers;
    std::string body;
  };

  explicit HttpCall(Fields fields)
    : m_fields(std::move(fields))
  {
  }

  const std::string& method() const { return m_fields.method; }
  const std::string& path() const { return m_fields.path; }
  const std::string& query() const { return m_fields.query; }
  const std::vector<HttpCallHeader>& headers() const
  {
    return m_fields.headers;
  }
  const std::string& body() const { return m_fields.body; }

  friend bool operator==(const HttpCall& a, const HttpCall& b);
  friend bool operator!=(const HttpCall& a, const HttpCall& b)
  {
    return !(a == b);
  }

private:
  Fields m_fields;
};

/// `text` as one segment of a URL path: everything but letters, digits and
/// `-._~` is percent-encoded.
std::string
encodeSegment(const std::string& text);

} // namespace cowslippin
