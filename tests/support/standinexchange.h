#pragma once

#include <cxxtools/http/reply.h>
#include <cxxtools/http/request.h>
#include <nlohmann/json.hpp>

#include <functional>
#include <string>

namespace cowslippin::standins {

/// One request to a stand-in and its answer, along with the means to answer
/// badly or not at all.
class StandinExchange
{
public:
  StandinExchange(int socket,
                  cxxtools::http::Request& request,
                  cxxtools::http::Reply& reply);

  const std::string& method() const;
  const std::string& path() const;
  const std::string& body() const { return m_body; }

  /// The request header of this name, or an empty string.
  std::string header(const char* name) const;

  /// The query parameter as a number, or `otherwise` when it is absent or no
  /// number.
  std::uint64_t queryNumber(const std::string& name,
                            std::uint64_t otherwise) const;

  /// Adds a header to the answer.
  void setHeader(const char* name, const std::string& value);

  /// Answers with a JSON body. Text that is not UTF-8 is replaced.
  void answer(int status, const nlohmann::json& body);

  /// Closes the connection; what was not sent so far never is.
  void drop();

  /// Sends these bytes as they are in place of an answer, then closes the
  /// connection.
  void sendRawAndDrop(const std::string& bytes);

  /// Blocks until `isOver` holds or the caller has closed the connection.
  void holdUntil(const std::function<bool()>& isOver) const;

private:
  bool isCallerGone() const;

  int m_socket;
  cxxtools::http::Request& m_request;
  cxxtools::http::Reply& m_reply;
  std::string m_body;
};

} // namespace cowslippin::standins
