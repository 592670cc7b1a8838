#pragma once

#include "libcore/core.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <array>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace cowslippin::testing {

/// Relays TCP connections on loopback and does to them what networks do. Bytes
/// that a fault holds back are delivered after it, as TCP's retransmissions do.
/// One thread.
class LoopbackProxy
{
public:
  /// What happens to the bytes of one direction.
  struct Fault
  {
    Duration delay = Duration::zero();
    /// Nothing passes until the fault is over.
    bool isSilent = false;
    /// A delay that grows steadily to this for half of `rampTime` and shrinks
    /// again.
    Duration peakDelay = Duration::zero();
    Duration rampTime = Duration::zero();
  };
  /// Holds back the bytes of both directions on the connections of some
  /// callers, as when the network between them and the target is cut.
  struct Cut
  {
    /// Whether the connections that come from this IP address are cut.
    std::function<bool(const std::string& source)> isCut;
    /// Whether the target doesn't learn that a caller closes or resets its
    /// connection meanwhile. It learns that when it writes next.
    bool losesEnds = false;
  };

  /// Begins to listen. Throws boost::system::system_error if it can't.
  LoopbackProxy(boost::asio::io_context& context,
                const Address& listen,
                const Address& target);
  ~LoopbackProxy();

  /// `towards` holds for bytes to the target, `back` for those from it; for
  /// connections that are open and for new ones.
  void setFaults(Fault towards, Fault back);
  /// Until `endCut`, for connections that are open and for new ones, which the
  /// target sees open without bytes. Replaces an earlier cut.
  void cut(Cut cut);
  /// Delivers what the cut held back.
  void endCut();
  /// Whether every connection is reset now and those that come are at once.
  void setRefusing(bool isRefusing);
  /// Resets every connection.
  void reset();
  /// Resets the callers' side of every connection at once, and the target's
  /// only so much later. What was under way is lost.
  void resetCallers(Duration targetLater);
  /// Resets the callers' side of those connections for which `isReset` says so.
  /// The target still gets what is under way to it if `delivers`; its answers
  /// are lost.
  void resetSome(const std::function<bool()>& isReset, bool delivers);
  /// Draws a delay of both directions for each connection that is open and for
  /// each new one, beside the faults; none if empty.
  void setOwnDelays(std::function<Duration()> draw);
  /// Whether it doesn't listen, so that new connections are refused. Throws
  /// boost::system::system_error if it can't listen again.
  void setClosed(bool isClosed);
  /// Is called with the bytes that go to the target, where they come from and
  /// how long they were held up.
  using Observer = std::function<void(const std::string& source,
                                      const std::string& bytes,
                                      Duration heldFor)>;
  void setObserver(Observer observer) { m_observer = std::move(observer); }
  /// Passes on what is due; to be called every 10 ms or so.
  void tick(TimePoint now);

  /// Where it listens, with the port that the system chose if it was 0.
  Address address() const;

private:
  using Socket = boost::asio::ip::tcp::socket;

  struct Chunk
  {
    TimePoint readAt{};
    TimePoint dueAt{};
    /// Empty for the end of the stream.
    std::string bytes;
    bool isReset = false;
  };
  /// One direction of a connection.
  struct Pipe
  {
    std::deque<Chunk> held;
    std::array<char, 16384> buffer{};
    bool isWriting = false;
    bool hasEnded = false;
  };
  struct Link
  {
    explicit Link(boost::asio::io_context& context)
      : sockets{ Socket(context), Socket(context) }
    {
    }

    /// The caller's, then the target's.
    std::array<Socket, 2> sockets;
    /// Towards the target, then back.
    std::array<Pipe, 2> pipes;
    /// The caller's IP address; empty if it was gone at once.
    std::string source;
    Duration ownDelay = Duration::zero();
    bool isCut = false;
    bool isCallerGone = false;
    bool isOver = false;
  };
  using LinkPtr = std::shared_ptr<Link>;
  /// A connection that only its target still holds.
  struct Remnant
  {
    TimePoint endAt{};
    LinkPtr link;
  };

  void open();
  void accept();
  void accepted(const LinkPtr& link);
  void read(const LinkPtr& link, std::size_t direction);
  /// Passes on a reset no sooner than the bytes of that direction.
  void holdReset(const LinkPtr& link, std::size_t direction);
  Duration delayOf(const Link& link,
                   std::size_t direction,
                   TimePoint now) const;
  bool isCut(const Link& link) const;
  /// Whether the target isn't to learn of this end of a stream.
  bool losesEnd(const Link& link, std::size_t direction) const;
  void pass(const LinkPtr& link, std::size_t direction, TimePoint now);
  void endRemnants(TimePoint now);
  static void abort(Link& link);
  static void abort(Socket& socket);

  boost::asio::io_context& m_context;
  boost::asio::ip::tcp::endpoint m_listen;
  const boost::asio::ip::tcp::endpoint m_target;
  boost::asio::ip::tcp::acceptor m_acceptor;
  std::array<Fault, 2> m_faults;
  TimePoint m_faultsSince{};
  Cut m_cut;
  bool m_isRefusing = false;
  std::function<Duration()> m_drawDelay;
  Observer m_observer;
  std::vector<LinkPtr> m_links;
  std::vector<Remnant> m_remnants;
};

} // namespace cowslippin::testing
