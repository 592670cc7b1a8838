#pragma once

#include "standins.h"

#include <boost/asio/ip/tcp.hpp>

#include <array>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace review {

/// The network in front of one minion. It passes connections on, and can delay
/// one call: that call gets no answer, and reaches whoever listens at the
/// minion's address when it is due.
class MinionRelay
{
public:
  /// Called with the body of a start; whether to delay it.
  using Delays = std::function<bool(Worker& minion, const nlohmann::json& body)>;

  MinionRelay(Deployment& deployment,
              Record& record,
              Worker& minion,
              Delays delays,
              Duration delay);

private:
  using Socket = boost::asio::ip::tcp::socket;

  struct Link
  {
    explicit Link(boost::asio::io_context& context)
      : sockets{ Socket(context), Socket(context) }
    {
    }

    /// The daemon's, then the minion's.
    std::array<Socket, 2> sockets;
    std::array<std::array<char, 65536>, 2> buffers{};
    bool isDelayed = false;
  };
  using LinkPtr = std::shared_ptr<Link>;
  struct DelayedCall
  {
    std::string bytes;
    TimePoint dueAt;
  };

  void accept();
  void read(const LinkPtr& link, std::size_t direction);
  bool mustDelay(const std::string& bytes);
  void deliver(TimePoint now);
  static void end(Link& link);

  Deployment& m_deployment;
  Record& m_record;
  Worker& m_minion;
  const Delays m_delays;
  const Duration m_delay;
  boost::asio::ip::tcp::acceptor m_acceptor;
  std::optional<DelayedCall> m_call;
  std::optional<Socket> m_delivery;
};

} // namespace review
