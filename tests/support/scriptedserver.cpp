#include "scriptedserver.h"

#include "loopbacklistener.h"

#include <sys/socket.h>
#include <unistd.h>

#include <cstdlib>
#include <stdexcept>
#include <utility>

namespace cowslippin::testing {

namespace {

constexpr int backlog = 64;
constexpr std::chrono::milliseconds dripStep(10);
constexpr char headerEnd[] = "\r\n\r\n";
constexpr char lengthHeader[] = "Content-Length: ";

bool
sendBytes(int connection, const std::string& bytes)
{
  const ssize_t sent =
    ::send(connection, bytes.data(), bytes.size(), MSG_NOSIGNAL);
  return sent == static_cast<ssize_t>(bytes.size());
}

/// The size of the whole request whose header is in `received`.
std::size_t
requestSize(const std::string& received, std::size_t headerSize)
{
  const std::size_t found = received.find(lengthHeader);
  if (found == std::string::npos) {
    return headerSize;
  }
  const char* number = received.c_str() + found + sizeof(lengthHeader) - 1;
  return headerSize + std::strtoul(number, nullptr, 10);
}

bool
isWhole(const std::string& received)
{
  const std::size_t end = received.find(headerEnd);
  if (end == std::string::npos) {
    return false;
  }
  const std::size_t headerSize = end + sizeof(headerEnd) - 1;
  return received.size() >= requestSize(received, headerSize);
}

} // namespace

std::string
httpBytes(int status, const std::string& body)
{
  return "HTTP/1.1 " + std::to_string(status) +
         " Status\r\nContent-Type: application/json\r\nContent-Length: " +
         std::to_string(body.size()) + headerEnd + body;
}

ScriptedServer::ScriptedServer(std::vector<ScriptedAnswer> script)
  : m_script(std::move(script))
  , m_listener(listenOnLoopback(backlog))
{
  m_address = boundAddress(m_listener);
  m_thread = std::thread([this] { run(); });
}

ScriptedServer::~ScriptedServer()
{
  m_stopping = true;
  ::shutdown(m_listener, SHUT_RDWR);
  {
    const std::lock_guard lock(m_mutex);
    ::shutdown(m_connection, SHUT_RDWR);
  }
  m_thread.join();
  close(m_listener);
}

void
ScriptedServer::waitForClosed(std::size_t count)
{
  std::unique_lock lock(m_mutex);
  if (!m_changed.wait_for(lock, hangLimit, [&] { return m_closed >= count; })) {
    throw std::runtime_error("the connections were not closed");
  }
}

void
ScriptedServer::run()
{
  while (!m_stopping) {
    const int connection = accept(m_listener, nullptr, nullptr);
    if (connection < 0) {
      return;
    }
    {
      const std::lock_guard lock(m_mutex);
      m_connection = connection;
    }
    if (!m_stopping) {
      serve(connection);
    }
    const std::lock_guard lock(m_mutex);
    m_connection = -1;
    close(connection);
    ++m_closed;
    m_changed.notify_all();
  }
}

void
ScriptedServer::serve(int connection)
{
  while (readRequest(connection) && answerNext(connection)) {
  }
}

bool
ScriptedServer::readRequest(int connection)
{
  std::string received;
  char bytes[4096];
  while (!isWhole(received)) {
    const ssize_t count = recv(connection, bytes, sizeof(bytes), 0);
    if (count <= 0) {
      return false;
    }
    received.append(bytes, static_cast<std::size_t>(count));
  }
  return true;
}

bool
ScriptedServer::answerNext(int connection)
{
  const std::size_t index = m_requests++;
  if (index >= m_script.size()) {
    return true;
  }
  const ScriptedAnswer& answer = m_script[index];
  if (!sendBytes(connection, answer.bytes)) {
    return false;
  }
  if (answer.then == ScriptedAnswer::Then::Drip) {
    drip(connection);
  }
  return answer.then == ScriptedAnswer::Then::KeepOpen;
}

void
ScriptedServer::drip(int connection) const
{
  while (!m_stopping && sendBytes(connection, " ")) {
    std::this_thread::sleep_for(dripStep);
  }
}

} // namespace cowslippin::testing
