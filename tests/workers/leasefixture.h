#pragma once

#include "support/fakeworker.h"

#include "libworkers/workers.h"

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

namespace cowslippin::testing {

/// What happens to an order in transit.
enum class Delivery
{
  Normal,
  /// The order is lost, so that it isn't answered.
  Lost,
  /// The order is carried out and its answer is lost.
  AnswerLost,
  /// The order isn't answered, and is carried out when the test runs it from
  /// `lateOrders`.
  Late,
};

/// A lease on an in-memory worker with a virtual clock. Orders wait in a queue
/// until they are delivered.
class LeaseFixture
{
public:
  LeaseFixture()
    : LeaseFixture(WorkerLease::Settings())
  {
  }

  explicit LeaseFixture(const WorkerLease::Settings& settings)
    : times(std::make_shared<OrderTimeouts>(OrderTimeouts::Settings()))
    , lease(record(), settings, hooks(), times, now)
  {
  }

  static WorkerRecord record(WorkerBootTime bootTime = {})
  {
    WorkerRecord::Fields fields;
    fields.id = WorkerId("w1");
    fields.bootTime = bootTime;
    fields.service = ServiceName("booking");
    fields.zone = ZoneName("z1");
    fields.capacity = Resources(16000, 1000, 0);
    return WorkerRecord(fields);
  }

  /// Delivers the queued orders and those that they cause, up to `count`: a
  /// worker without a new end answers a report request only after a wait, so
  /// there is always another request.
  void deliver(Delivery delivery = Delivery::Normal, std::size_t count = 8)
  {
    while (!orders.empty() && count-- > 0) {
      const auto order = orders.front();
      orders.pop_front();
      order(delivery);
    }
  }

  /// Claims the worker. The answer to the claim is followed by the report that
  /// completes it.
  void claim(FencingToken token = 10)
  {
    lease.claim(token, now);
    deliver(Delivery::Normal, 2);
  }

  void start(const RunKey& key, std::int64_t cpu = 6800)
  {
    lease.start(key, Resources(cpu, 10, 0), "spec", now);
  }

  /// Restarts the worker under its id. The new incarnation has no record of
  /// earlier orders, and its clock restarts.
  void restart(std::int64_t birthMs)
  {
    const auto sinceStart =
      std::chrono::duration_cast<std::chrono::milliseconds>(
        now.time_since_epoch());
    worker = FakeWorker(-sinceStart.count(), WorkerBootTime(birthMs));
  }

  void advance(int milliseconds)
  {
    now += std::chrono::milliseconds(milliseconds);
    lease.tick(now);
  }

  TimePoint now{ std::chrono::seconds(1000) };
  FakeWorker worker{ 50000, WorkerBootTime(1) };
  std::deque<std::function<void(Delivery)>> orders;
  /// Orders that were delivered as `Late`.
  std::vector<std::function<void()>> lateOrders;
  std::vector<std::pair<RunKey, RunEnd>> ended;
  std::vector<std::pair<RunKey, OrderFailure>> rejected;
  /// Whether unanswered starts are sent again.
  bool mayResend = false;
  /// Starts that a later incarnation may still carry out.
  std::vector<RunKey> unresolved;
  std::vector<RunKey> orphans;
  std::vector<std::pair<RunKey, RunEnd>> endedOrphans;
  std::vector<RunKey> stoppedOrphans;
  std::vector<std::pair<RunKey, StopCause>> stoppedStarts;
  std::vector<StopFailed> failedStops;
  std::vector<EndingRunRenewed> unwantedRenewals;
  std::vector<LeaseExpired> expiries;
  std::vector<RunPresumedOver> presumedOver;
  std::vector<LeaseState> states;
  /// Until when each run is wanted; without limit for a run that isn't listed
  /// here.
  std::map<RunKey, TimePoint> runWantedUntil;
  /// Runs that nobody wants any more.
  std::set<RunKey> unwanted;
  /// Whether every stop is lost, however it is delivered.
  bool areStopsLost = false;
  std::shared_ptr<OrderTimeouts> times;
  WorkerLease lease;

private:
  WorkerLease::Hooks hooks()
  {
    WorkerLease::Hooks hooks;
    hooks.sendLeaseOrder = [this](const LeaseOrder& order, Duration) {
      const SentLeaseOrder sent{ order.token, now };
      orders.push_back([this, order, sent](Delivery delivery) {
        const auto carryOut = [this, order] { return worker.hold(order, now); };
        LeaseOrderAnswer answer = OrderFailure::Unanswered;
        if (delivery == Delivery::Normal)
          answer = carryOut();
        else
          carryOutUnanswered(delivery, carryOut);
        lease.leaseOrderAnswered(sent, answer, now);
      });
    };
    hooks.sendStart = [this](const StartOrder& order, Duration) {
      orders.push_back([this, order](Delivery delivery) {
        const auto carryOut = [this, order] {
          return worker.start(order, now);
        };
        OrderAnswer answer = OrderFailure::Unanswered;
        if (delivery == Delivery::Normal)
          answer = carryOut();
        else
          carryOutUnanswered(delivery, carryOut);
        lease.startAnswered(order.key, answer, now);
      });
    };
    hooks.sendStop = [this](const StopOrder& order, Duration) {
      orders.push_back([this, order](Delivery asked) {
        const Delivery delivery = areStopsLost ? Delivery::Lost : asked;
        const auto carryOut = [this, order] { return worker.stop(order, now); };
        OrderAnswer answer = OrderFailure::Unanswered;
        if (delivery == Delivery::Normal)
          answer = carryOut();
        else
          carryOutUnanswered(delivery, carryOut);
        lease.stopAnswered(order.key, answer, now);
      });
    };
    hooks.runEnded = [this](const RunKey& key, RunEnd end) {
      ended.emplace_back(key, end);
    };
    hooks.unresolvedStartFound = [this](const RunKey& key, TimePoint) {
      unresolved.push_back(key);
    };
    hooks.mayResend = [this](const RunKey&) { return mayResend; };
    hooks.startRejected = [this](const RunKey& key, OrderFailure failure) {
      rejected.emplace_back(key, failure);
    };
    hooks.startStopped = [this](const RunKey& key, StopCause cause) {
      stoppedStarts.emplace_back(key, cause);
    };
    hooks.runProgressed = [](const RunKey&, int) {};
    hooks.orphanFound = [this](const RunKey& key) { orphans.push_back(key); };
    hooks.orphanEnded = [this](const RunKey& key, RunEnd end) {
      endedOrphans.emplace_back(key, end);
    };
    hooks.orphanStopped = [this](const auto& note) {
      stoppedOrphans.push_back(note.key);
    };
    hooks.stopFailed = [this](const auto& note) {
      failedStops.push_back(note);
    };
    hooks.endingRunRenewed = [this](const auto& note) {
      unwantedRenewals.push_back(note);
    };
    hooks.expired = [this](const auto& note) { expiries.push_back(note); };
    hooks.runPresumedOver = [this](const auto& note) {
      presumedOver.push_back(note);
    };
    hooks.stateChanged = [this](LeaseState state) { states.push_back(state); };
    hooks.runWantedUntil =
      [this](const RunKey& key) -> std::optional<TimePoint> {
      if (unwanted.count(key) > 0)
        return std::nullopt;
      const auto found = runWantedUntil.find(key);
      return found == runWantedUntil.end() ? TimePoint::max() : found->second;
    };
    return hooks;
  }

  template<class CarryOut>
  void carryOutUnanswered(Delivery delivery, CarryOut carryOut)
  {
    if (delivery == Delivery::AnswerLost)
      carryOut();
    else if (delivery == Delivery::Late)
      lateOrders.push_back([carryOut] { carryOut(); });
  }
};

} // namespace cowslippin::testing
