#include "httpservice.h"

#include "httpresponder.h"
#include "problemreply.h"

#include <exception>
#include <utility>

namespace cowslippin {

namespace {

constexpr int internalServerError = 500;

HttpReply
handlerFailed()
{
  const Problem problem(ProblemKind::OutcomeUnknown,
                        RunState::MayHaveRun,
                        "the daemon failed while it handled the request");
  return problemReply(problem, internalServerError);
}

} // namespace

HttpService::HttpService(Settings settings)
  : m_settings(std::move(settings))
{
}

HttpReply
HttpService::handle(const HttpRequest& request)
{
  ++m_inFlight;
  HttpReply reply = callHandler(request);
  --m_inFlight;
  return reply;
}

HttpReply
HttpService::callHandler(const HttpRequest& request) const
{
  try {
    return m_settings.handler(request);
  } catch (const std::exception& error) {
    report(error.what());
  } catch (...) {
    report("an exception of an unknown type");
  }
  return handlerFailed();
}

void
HttpService::report(const std::string& what) const
{
  if (m_settings.handlerThrew) {
    m_settings.handlerThrew(what);
  }
}

cxxtools::http::Responder*
HttpService::createResponder(const cxxtools::http::Request& /*request*/)
{
  return new HttpResponder(*this);
}

void
HttpService::releaseResponder(cxxtools::http::Responder* responder)
{
  delete responder;
}

} // namespace cowslippin
