#pragma once

#include <exception>

namespace cowslippin {

/// Logs that a handler has thrown an exception.
void
logHandlerFailure(const char* handler, const char* reason);

/// Calls a function of a handler. An exception is logged with the handler's
/// name and doesn't leave this function, so that it doesn't end the thread or,
/// with it, the process. Returns whether there was none.
template<class Function>
bool
runGuarded(const char* handler, const Function& function)
{
  try {
    function();
    return true;
  } catch (const std::exception& error) {
    logHandlerFailure(handler, error.what());
  } catch (...) {
    logHandlerFailure(handler, "an exception of an unknown type");
  }
  return false;
}

/// Runs the handlers of a Boost.Asio I/O context until it is stopped or has no
/// more work. An exception from a handler is logged, and the others run.
template<class Context>
void
runEventLoop(Context& context)
{
  // `run` may be called again after an exception.
  while (!runGuarded("event loop", [&] { context.run(); })) {
  }
}

} // namespace cowslippin
