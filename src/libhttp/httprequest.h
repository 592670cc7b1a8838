#pragma once

#include "httpheader.h"

namespace cowslippin {

/// A request as the server received it.
class HttpRequest
{
public:
  struct Fields
  {
    std::string method = "GET";
    /// The path, percent-decoded as cxxtools does it: a plus sign stands for a
    /// space, and an encoded slash cannot be told from a plain one.
    std::string path = "/";
    /// What followed the question mark, percent-encoded.
    std::string query;
    HttpHeaders headers;
    std::string body;
  };

  explicit HttpRequest(Fields fields);

  const std::string& method() const { return m_fields.method; }
  const std::string& path() const { return m_fields.path; }
  const std::string& query() const { return m_fields.query; }
  const HttpHeaders& headers() const { return m_fields.headers; }
  const std::string& body() const { return m_fields.body; }

  /// The value of the first header field called `name`, or nothing.
  std::optional<std::string> header(std::string_view name) const;

  /// The decoded value of the query parameter `name`, or nothing. A parameter
  /// without a value, or whose encoding is not valid, has an empty one.
  std::optional<std::string> queryParameter(std::string_view name) const;

  friend bool operator==(const HttpRequest& a, const HttpRequest& b);
  friend bool operator!=(const HttpRequest& a, const HttpRequest& b)
  {
    return !(a == b);
  }

private:
  Fields m_fields;
};

} // namespace cowslippin
