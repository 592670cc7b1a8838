#include "httpcall.h"

#include <cxxtools/http/client.h>
#include <cxxtools/http/request.h>

#include <strings.h>

#include <exception>

namespace cowslippin::testing {

namespace {

void
fill(cxxtools::http::Request& request,
     const std::string& method,
     const std::string& path,
     const std::string& body,
     const std::vector<HttpField>& headers)
{
  request.method(method);
  // The library sends query parameters of its own with a GET only.
  request.url(path);
  for (const HttpField& field : headers) {
    request.setHeader(field.name.c_str(), field.value.c_str());
  }
  request.body() << body;
}

HttpAnswer
toAnswer(const cxxtools::http::Reply& reply)
{
  HttpAnswer answer;
  answer.status = static_cast<int>(reply.httpReturnCode());
  answer.body = reply.body();
  for (const auto& [name, value] : reply.header()) {
    answer.headers.push_back({ name, value });
  }
  return answer;
}

} // namespace

std::string
HttpAnswer::header(const std::string& name) const
{
  for (const HttpField& field : headers) {
    if (strcasecmp(field.name.c_str(), name.c_str()) == 0) {
      return field.value;
    }
  }
  return {};
}

HttpAnswer
httpCall(const Address& address,
         const std::string& method,
         const std::string& path,
         const std::string& body,
         const std::vector<HttpField>& headers,
         Duration timeout)
{
  const auto milliseconds =
    std::chrono::ceil<std::chrono::milliseconds>(timeout);
  try {
    cxxtools::http::Client client(address.host(), address.port());
    cxxtools::http::Request request;
    fill(request, method, path, body, headers);
    client.execute(request, cxxtools::Milliseconds(milliseconds.count()));
    return toAnswer(client.readBody());
  } catch (const std::exception&) {
    return {};
  }
}

} // namespace cowslippin::testing
