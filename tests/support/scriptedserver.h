#pragma once

#include "childprocess.h"

#include <atomic>
#include <condition_variable>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace cowslippin::testing {

/// What a ScriptedServer does with one request.
struct ScriptedAnswer
{
  enum class Then
  {
    /// Waits for the next request on the same connection.
    KeepOpen,
    /// Closes the connection.
    Close,
    /// Goes on sending a blank now and then until the caller closes.
    Drip,
  };

  /// Sent as they are.
  std::string bytes;
  Then then = Then::KeepOpen;
};

/// A well-formed HTTP answer.
std::string
httpBytes(int status, const std::string& body);

/// A server on loopback that answers each request with the next step of a
/// script, whatever the request, over one connection at a time. Requests
/// beyond the script are read and never answered.
class ScriptedServer
{
public:
  explicit ScriptedServer(std::vector<ScriptedAnswer> script);
  ~ScriptedServer();
  ScriptedServer(const ScriptedServer&) = delete;
  ScriptedServer& operator=(const ScriptedServer&) = delete;

  const Address& address() const { return m_address; }

  /// How many whole requests have come.
  std::size_t requests() const { return m_requests; }

  /// Waits until the server has closed this many connections.
  void waitForClosed(std::size_t count);

private:
  void run();
  void serve(int connection);
  bool readRequest(int connection);
  bool answerNext(int connection);
  void drip(int connection) const;

  std::vector<ScriptedAnswer> m_script;
  Address m_address;
  int m_listener = -1;
  std::atomic<std::size_t> m_requests{ 0 };
  std::atomic<bool> m_stopping{ false };
  std::mutex m_mutex;
  std::condition_variable m_changed;
  std::size_t m_closed = 0;
  int m_connection = -1;
  std::thread m_thread;
};

} // namespace cowslippin::testing
