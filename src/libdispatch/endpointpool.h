#pragma once

#include "attemptreport.h"
#include "endpointrecord.h"
#include "recentends.h"
#include "zonenumbers.h"

#include <random>

namespace cowslippin {

/// The endpoints of one service: which of them gets the next task.
class EndpointPool
{
public:
  /// What a task asks of its endpoint.
  struct Request
  {
    const ZoneSet& zones;
    bool repeatable;
    /// The serials of the endpoints that already had it.
    const std::vector<std::uint64_t>& tried;
    /// Whether more tasks wait than this daemon has slots of its own.
    bool hasBacklog;
  };

  EndpointPool(const DispatchSettings& settings, std::mt19937_64& random);

  /// Takes the listed endpoints of the service, those of the own zone marked
  /// by their zone number.
  void rebuild(const std::vector<EndpointRecord*>& records,
               const std::vector<std::size_t>& zones,
               std::size_t ownZone);

  /// The endpoint to use now, or null when the task has to wait.
  EndpointRecord* choose(const Request& request, TimePoint now);

  /// Lets one slot be borrowed of each endpoint that was silent for an
  /// interval, to learn whether it has some free. Does nothing in between.
  void lendSilent(TimePoint now);
  /// When `lendSilent` has something to do, if ever.
  std::optional<TimePoint> nextLending() const;

  void started(EndpointRecord& record, bool probe);

  /// Takes in an attempt's end. `relativeTime` is its run time over the
  /// learned one.
  void ended(EndpointRecord& record,
             bool probe,
             const AttemptReport& report,
             double relativeTime,
             TimePoint now);

  /// Sets the typical run time, which scales load against crossing a zone.
  void setTypicalRunTime(Duration runTime) { m_typicalRunTime = runTime; }

  /// How many endpoints in these zones are listed, leaving ones included.
  int listedIn(const ZoneSet& zones) const;
  /// How many may be given work, ejected ones included.
  int liveIn(const ZoneSet& zones) const;
  /// How many may be given work now.
  int healthyIn(const ZoneSet& zones) const;
  /// Whether a healthy one has a free slot, be it one that is lent only
  /// against a backlog.
  bool hasRoom(const ZoneSet& zones) const;
  /// The slots that are this daemon's own at the healthy ones.
  int dealtIn(const ZoneSet& zones) const;
  /// The slots that this daemon may fill at the healthy ones.
  int slotsIn(const ZoneSet& zones) const;
  /// When the next ejected endpoint in these zones is due for its probe.
  std::optional<TimePoint> nextProbe(const ZoneSet& zones) const;

private:
  struct Group
  {
    std::size_t zone = 0;
    /// In microseconds, added to the cost of each member.
    std::int32_t crossing = 0;
    std::vector<EndpointRecord*> members;
    /// Beside each member, its cost in microseconds or `unusable`.
    std::vector<std::int32_t> costs;
    int withRoom = 0;
    int live = 0;
    int healthy = 0;
    int slots = 0;
    int dealt = 0;
  };

  void addMember(EndpointRecord& record, std::size_t zone, std::size_t ownZone);
  Group& groupOfZone(std::size_t zone, std::size_t ownZone);
  void recount(Group& group);
  void recountAll();
  /// Takes stock after every so many ends.
  void refresh();
  static void lendIfSilent(EndpointRecord& record);
  void updateCost(EndpointRecord& record);
  std::int32_t cost(const EndpointRecord& record) const;
  void recordReport(EndpointRecord& record,
                    bool answered,
                    std::optional<int> slotsFree);
  double relativeSlowness(const EndpointRecord& record) const;
  int limitOf(const EndpointRecord& record) const;
  EndpointRecord* dueProbe(const Request& request, TimePoint now) const;
  EndpointRecord* chooseCheapest(const Request& request);
  EndpointRecord* chooseOfTwo(const Request& request);
  EndpointRecord* chooseUntried(const Request& request) const;
  bool isWorseThanOthers(const EndpointRecord& record) const;
  bool mayEjectOneMore() const;
  void setEjected(EndpointRecord& record, TimePoint now);

  const DispatchSettings& m_settings;
  std::mt19937_64& m_random;
  std::vector<Group> m_groups;
  std::vector<EndpointRecord*> m_ejected;
  std::vector<double> m_scratch;
  Duration m_typicalRunTime = std::chrono::milliseconds(100);
  /// Whether some slots are dealt to other daemons.
  bool m_lends = false;
  TimePoint m_nextLending;
  std::size_t m_size = 0;
  std::size_t m_endsSinceRefresh = 0;
  double m_medianSlowness = 1.0;
  RecentEnds m_recentEnds;
};

} // namespace cowslippin
