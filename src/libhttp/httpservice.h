#pragma once

#include "httpreply.h"
#include "httprequest.h"

#include <cxxtools/http/service.h>

#include <atomic>
#include <functional>

namespace cowslippin {

/// Hands the requests of a cxxtools server to a handler.
class HttpService : public cxxtools::http::Service
{
public:
  struct Settings
  {
    std::function<HttpReply(const HttpRequest&)> handler;
    std::size_t maxBodyBytes;
    std::function<void(const std::string& what)> handlerThrew;
  };

  explicit HttpService(Settings settings);

  const Settings& settings() const { return m_settings; }

  /// How many requests are with the handler.
  std::size_t inFlight() const { return m_inFlight; }

  /// Calls the handler; what it throws becomes a problem with status 500.
  HttpReply handle(const HttpRequest& request);

protected:
  cxxtools::http::Responder* createResponder(
    const cxxtools::http::Request& request) override;
  void releaseResponder(cxxtools::http::Responder* responder) override;

private:
  HttpReply callHandler(const HttpRequest& request) const;
  void report(const std::string& what) const;

  const Settings m_settings;
  std::atomic<std::size_t> m_inFlight{ 0 };
};

} // namespace cowslippin
