#pragma once

#include "httpheader.h"

namespace cowslippin {

/// A reply as the server sends it.
class HttpReply
{
public:
  struct Fields
  {
    int status = 200;
    std::string contentType;
    std::string body;
    /// Further header fields; content type and length are not among them.
    HttpHeaders headers;
  };

  explicit HttpReply(Fields fields);

  /// A reply with a JSON body.
  static HttpReply json(int status, std::string body);

  int status() const { return m_fields.status; }
  const std::string& contentType() const { return m_fields.contentType; }
  const std::string& body() const { return m_fields.body; }
  const HttpHeaders& headers() const { return m_fields.headers; }

  /// The value of the first header field called `name`, or nothing.
  std::optional<std::string> header(std::string_view name) const;

  /// The same reply with one more header field.
  HttpReply withHeader(std::string name, std::string value) const;

  friend bool operator==(const HttpReply& a, const HttpReply& b);
  friend bool operator!=(const HttpReply& a, const HttpReply& b)
  {
    return !(a == b);
  }

private:
  Fields m_fields;
};

} // namespace cowslippin
