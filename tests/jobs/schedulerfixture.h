#pragma once

#include "support/fakeworker.h"

#include "libjobs/jobs.h"

#include <deque>
#include <map>
#include <optional>
#include <random>
#include <vector>

namespace cowslippin::testing {

/// A scheduler with in-memory workers on a virtual clock. Orders are queued
/// until `settle` delivers them.
class SchedulerFixture
{
public:
  SchedulerFixture()
    : scheduler(VmId("self"), Scheduler::Settings(), hooks())
  {
  }

  static ShardId shard() { return { ZoneName("z1"), 0 }; }

  void addWorker(const std::string& id, std::int64_t cpu = 16000)
  {
    WorkerRecord::Fields fields;
    fields.id = WorkerId(id);
    fields.service = ServiceName("booking");
    fields.zone = ZoneName("z1");
    fields.capacity = Resources(cpu, 1000, 0);
    list[fields.id] = WorkerRecord(fields);
    workers[fields.id];
    scheduler.setWorkers(list, now);
  }

  /// Restarts the worker: it loses its runs and is listed again under its id.
  /// `bootTime` must rise with each restart.
  void restartWorker(const WorkerId& id, std::int64_t bootTime)
  {
    WorkerRecord::Fields fields;
    fields.id = id;
    fields.bootTime = WorkerBootTime(bootTime);
    fields.service = list.at(id).service();
    fields.zone = list.at(id).zone();
    fields.capacity = list.at(id).capacity();
    list[id] = WorkerRecord(fields);
    workers[id] = FakeWorker(50000, fields.bootTime);
    scheduler.setWorkers(list, now);
    settle();
  }

  /// Restarts the worker without a change to the platform's list.
  void restartUndetected(const WorkerId& id, std::int64_t bootTime)
  {
    workers[id] = FakeWorker(50000, WorkerBootTime(bootTime));
  }

  /// Lists the worker as draining, so that nothing is to be started on it.
  void drain(const WorkerId& id)
  {
    WorkerRecord::Fields fields;
    fields.id = id;
    fields.bootTime = list.at(id).bootTime();
    fields.service = list.at(id).service();
    fields.zone = list.at(id).zone();
    fields.capacity = list.at(id).capacity();
    fields.isDraining = true;
    list[id] = WorkerRecord(fields);
    scheduler.setWorkers(list, now);
  }

  /// Returns the worker that has a run of the task, if any.
  std::optional<WorkerId> workerOf(const std::string& task) const
  {
    for (const auto& [id, worker] : workers) {
      for (const RunKey& key : worker.runs()) {
        if (key.task() == task)
          return id;
      }
    }
    return std::nullopt;
  }

  void holdShard()
  {
    scheduler.takeShard(shard(), 10, now);
    settle();
  }

  /// Returns what a holder with the same list advertises of the shard's
  /// workers.
  ShardWorkers advertisedWorkers() const
  {
    return { shard(), scheduler.workersDigest(shard()) };
  }

  JobRequest request(const std::string& job,
                     unsigned tasks,
                     std::int64_t cpu = 6800,
                     int estimateMs = 100)
  {
    JobRequest request;
    request.key = JobKey(VmId("gateway"), JobId(job), ++lastPart);
    request.policy.queue = "q";
    request.policy.service = ServiceName("booking");
    request.policy.maxAttempts = 2;
    request.policy.stretch = 1.6;
    request.policy.target = std::chrono::milliseconds(60);
    request.needs.resources = Resources(cpu, 1, 0);
    request.needs.estimate = std::chrono::milliseconds(estimateMs);
    request.taskPrefix = job + ".0.0.";
    request.timeLeft = std::chrono::seconds(5);
    request.shard = shard();
    for (unsigned task = 0; task < tasks; ++task)
      request.tasks.push_back(task);
    return request;
  }

  /// Delivers all queued orders, and the reports that workers hold back.
  void settle()
  {
    for (int round = 0; round < 20 && !orders.empty(); ++round) {
      for (const auto& order : std::exchange(orders, {}))
        order();
      answerHeldReports();
    }
  }

  /// Delivers what is due: queued orders, reports for which a run has ended or
  /// the time is up, and orders that were delayed.
  void deliver()
  {
    while (!m_timed.empty() && m_timed.begin()->first <= now) {
      const auto action = m_timed.begin()->second;
      m_timed.erase(m_timed.begin());
      action();
    }
    for (const PendingReport& parked : std::exchange(m_pendingReports, {})) {
      if (now >= parked.answerBy || workers[parked.worker].hasEnded())
        answer(parked);
      else
        m_pendingReports.push_back(parked);
    }
    for (int round = 0; round < 20 && !orders.empty(); ++round) {
      for (const auto& order : std::exchange(orders, {}))
        order();
    }
  }

  /// Ends the run of the task on whichever worker has it. Returns false if
  /// there is none.
  bool end(const std::string& task, RunEnd how)
  {
    for (auto& [id, worker] : workers) {
      for (const RunKey& key : worker.runs()) {
        if (key.task() != task)
          continue;
        worker.end(key, how);
        settle();
        answerHeldReports();
        settle();
        return true;
      }
    }
    return false;
  }

  unsigned totalRuns() const
  {
    unsigned count = 0;
    for (const auto& [id, worker] : workers)
      count += static_cast<unsigned>(worker.runCount());
    return count;
  }

  void advance(int milliseconds)
  {
    for (int passed = 0; passed < milliseconds; passed += 20) {
      now += std::chrono::milliseconds(20);
      scheduler.tick(now);
      answerHeldReports();
      settle();
    }
  }

  const JobEnd* endOf(const JobRequest& request) const
  {
    const auto found = ends.find(request.key);
    return found == ends.end() ? nullptr : &found->second;
  }

  TimePoint now{ std::chrono::seconds(1000) };
  std::map<WorkerId, FakeWorker> workers;
  WorkerList list;
  std::deque<std::function<void()>> orders;
  std::map<JobKey, JobEnd> ends;
  std::vector<TasksReturned> returns;
  std::vector<UnresolvedStart> unresolved;
  std::uint64_t lastPart = 0;
  /// Share of the orders that get no answer and are carried out late.
  double lostShare = 0;
  /// Whether starts get no answer and wait in `lateStarts` for the test to
  /// deliver them.
  bool delaysStarts = false;
  std::vector<std::pair<WorkerId, StartOrder>> lateStarts;
  /// Whether no stop arrives or is answered.
  bool areStopsLost = false;
  FencingToken lastToken = 10;
  /// Number of requests for a report that is answered at once.
  unsigned promptReports = 0;
  /// Last contact of each daemon; the present time for a daemon that isn't
  /// listed.
  std::map<VmId, TimePoint> lastContacts;
  /// Time up to which this daemon's workers were advertised to each daemon; the
  /// present time for a daemon that isn't listed.
  std::map<VmId, TimePoint> advertisedUntil;
  Scheduler scheduler;

private:
  struct PendingReport
  {
    WorkerId worker;
    LeaseOrder order;
    TimePoint sent;
    TimePoint answerBy;
  };

  Scheduler::Hooks hooks()
  {
    Scheduler::Hooks hooks;
    hooks.orders.hold = [this](const WorkerRecord& record,
                               const LeaseOrder& order,
                               Duration timeout) {
      if (order.maxWait == Duration::zero())
        ++promptReports;
      if (isLost()) {
        loseOrder(
          [this, id = record.id(), order] { workers[id].hold(order, now); },
          [this, id = record.id(), sent = SentLeaseOrder{ order.token, now }] {
            scheduler.leaseOrderAnswered(
              id, sent, OrderFailure::Unanswered, now);
          },
          timeout);
        return;
      }
      if (order.maxWait > Duration::zero()) {
        m_pendingReports.push_back(
          { record.id(), order, now, now + order.maxWait });
        return;
      }
      orders.push_back([this, id = record.id(), order, sent = now] {
        scheduler.leaseOrderAnswered(
          id, { order.token, sent }, workers[id].hold(order, now), now);
      });
    };
    hooks.orders.start = [this](const WorkerRecord& record,
                                const StartOrder& order,
                                Duration timeout) {
      if (delaysStarts) {
        lateStarts.emplace_back(record.id(), order);
        orders.push_back([this, id = record.id(), key = order.key] {
          scheduler.startAnswered(id, key, OrderFailure::Unanswered, now);
        });
        return;
      }
      if (isLost()) {
        loseOrder(
          [this, id = record.id(), order] { workers[id].start(order, now); },
          [this, id = record.id(), key = order.key] {
            scheduler.startAnswered(id, key, OrderFailure::Unanswered, now);
          },
          timeout);
        return;
      }
      orders.push_back([this, id = record.id(), order] {
        scheduler.startAnswered(
          id, order.key, workers[id].start(order, now), now);
      });
    };
    hooks.orders.stop = [this](const WorkerRecord& record,
                               const StopOrder& order,
                               Duration timeout) {
      if (areStopsLost)
        return;
      if (isLost()) {
        loseOrder(
          [this, id = record.id(), order] { workers[id].stop(order, now); },
          [this, id = record.id(), key = order.key] {
            scheduler.stopAnswered(id, key, OrderFailure::Unanswered, now);
          },
          timeout);
        return;
      }
      orders.push_back([this, id = record.id(), order] {
        scheduler.stopAnswered(
          id, order.key, workers[id].stop(order, now), now);
      });
    };
    hooks.jobEnded = [this](const JobKey& key, const JobEnd& end) {
      ends[key] = end;
    };
    hooks.tasksReturned = [this](const JobKey&, const TasksReturned& returned) {
      returns.push_back(returned);
    };
    hooks.higherToken = [this](unsigned) { return lastToken += 10; };
    hooks.unresolvedStartFound = [this](const UnresolvedStart& start) {
      unresolved.push_back(start);
    };
    hooks.workerFenced = [](const ShardId&) {};
    hooks.lastContact = [this](const VmId& vm) {
      const auto found = lastContacts.find(vm);
      return found == lastContacts.end() ? now : found->second;
    };
    hooks.advertisedUntil = [this](const VmId& vm) {
      const auto found = advertisedUntil.find(vm);
      return found == advertisedUntil.end() ? now : found->second;
    };
    return hooks;
  }

  void answerHeldReports()
  {
    for (const PendingReport& parked : std::exchange(m_pendingReports, {}))
      answer(parked);
    for (const auto& order : std::exchange(orders, {}))
      order();
  }

  void answer(const PendingReport& parked)
  {
    orders.push_back([this, parked] {
      scheduler.leaseOrderAnswered(
        parked.worker,
        { parked.order.token, parked.sent },
        workers[parked.worker].hold(parked.order, now),
        now);
    });
  }

  bool isLost()
  {
    return std::uniform_real_distribution<double>()(m_random) < lostShare;
  }

  /// The sender gets no answer, and the worker receives the order 3 seconds
  /// later.
  void loseOrder(std::function<void()> carryOut,
                 std::function<void()> unanswered,
                 Duration timeout)
  {
    m_timed.emplace(now + timeout, std::move(unanswered));
    m_timed.emplace(now + std::chrono::seconds(3), std::move(carryOut));
  }

  std::vector<PendingReport> m_pendingReports;
  std::multimap<TimePoint, std::function<void()>> m_timed;
  std::mt19937_64 m_random;
};

} // namespace cowslippin::testing
