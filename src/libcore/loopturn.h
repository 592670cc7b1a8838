#pragma once

#include <boost/asio/post.hpp>

#include <utility>

namespace cowslippin {

/// Calls a function after a complete turn of the event loop that begins later
/// than this call. All sockets that were readable when that turn began have
/// been read by then. Must be called from a handler of the event loop, which
/// runs on one thread.
template<class Executor, class Function>
void
runAfterLoopTurn(Executor executor, Function function)
{
  // A handler that is posted by another one runs after the next poll of the
  // sockets, but before the handlers of what that poll has found. One that is
  // posted from there runs after those.
  boost::asio::post(executor,
                    [executor, function = std::move(function)]() mutable {
                      boost::asio::post(executor, std::move(function));
                    });
}

} // namespace cowslippin
