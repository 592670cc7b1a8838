#pragma once

#include "childprocess.h"

#include <string>
#include <vector>

namespace cowslippin::testing {

/// A header of a request or an answer.
struct HttpField
{
  std::string name;
  std::string value;
};

/// The answer to `httpCall`.
struct HttpAnswer
{
  /// 0 when no whole answer came.
  int status = 0;
  std::string body;
  std::vector<HttpField> headers;

  /// The header of this name, whatever its case, or an empty string.
  std::string header(const std::string& name) const;
};

/// Makes one request over a new connection and waits for the answer. It is
/// never sent twice. `path` may have a query.
HttpAnswer
httpCall(const Address& address,
         const std::string& method,
         const std::string& path,
         const std::string& body = {},
         const std::vector<HttpField>& headers = {},
         Duration timeout = hangLimit);

} // namespace cowslippin::testing
