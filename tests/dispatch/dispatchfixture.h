#pragma once

#include "libdispatch/dispatch.h"

#include <gtest/gtest.h>

namespace cowslippin {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// A dispatcher with a virtual clock and short ways to drive it.
class DispatchFixture
{
public:
  explicit DispatchFixture(const DispatchSettings& settings = {})
    : dispatcher(settings, 7)
  {
  }

  static Endpoint endpoint(const std::string& id,
                           const std::string& zone,
                           int slots,
                           Availability availability = Availability::Live)
  {
    Endpoint::Fields fields;
    fields.id = EndpointId(id);
    fields.service = ServiceName("booking");
    fields.zone = ZoneName(zone);
    fields.address = Address("127.0.0.1", 8080);
    fields.slots = slots;
    fields.availability = availability;
    return Endpoint(fields);
  }

  /// `count` endpoints named `e0`, `e1`, ... in zone `a`.
  static std::vector<Endpoint> endpoints(int count, int slots)
  {
    std::vector<Endpoint> list;
    list.reserve(static_cast<std::size_t>(count));
    for (int i = 0; i < count; ++i) {
      list.push_back(endpoint("e" + std::to_string(i), "a", slots));
    }
    return list;
  }

  static TaskSpec::Fields task(const std::string& key, TaskIndex index = 0)
  {
    TaskSpec::Fields fields;
    fields.id = TaskId(SubmissionKey(key), index);
    fields.organisation = OrganisationName("notaries");
    fields.templateName = TemplateName("slot-check");
    fields.service = ServiceName("booking");
    return fields;
  }

  void list(const std::vector<Endpoint>& endpoints)
  {
    dispatcher.setEndpoints(endpoints, ZoneName("a"), now);
  }

  std::optional<Problem> submit(const TaskSpec::Fields& fields)
  {
    return dispatcher.submit(TaskSpec(fields), now);
  }

  /// Submits tasks 0 to `count` - 1 of one key; all must be taken.
  void submitMany(TaskSpec::Fields fields, int count)
  {
    const SubmissionKey key = fields.id.key();
    for (int i = 0; i < count; ++i) {
      fields.id = TaskId(key, static_cast<TaskIndex>(i));
      ASSERT_EQ(submit(fields), std::nullopt);
    }
  }

  std::vector<Start> pollStarts()
  {
    std::vector<Start> starts;
    for (const DispatchAction& action : dispatcher.poll(now)) {
      if (const auto* start = std::get_if<Start>(&action)) {
        starts.push_back(*start);
      } else {
        givenUp.push_back(std::get<GiveUp>(action));
      }
    }
    return starts;
  }

  FinishResult finish(const Start& start,
                      AttemptEnd end,
                      Duration runTime = milliseconds(100))
  {
    AttemptReport report;
    report.endpoint = start.endpoint();
    report.attempt = start.attempt();
    report.end = end;
    report.runTime = runTime;
    return dispatcher.finished(start.task(), report, now);
  }

  /// Runs one task after another to its end; returns the endpoint of each.
  std::vector<std::string> runOneByOne(
    int count,
    const std::function<AttemptEnd(const EndpointId&)>& behaviour,
    Duration step = milliseconds(1))
  {
    std::vector<std::string> used;
    for (int i = 0; i < count; ++i) {
      TaskSpec::Fields fields = task("run" + std::to_string(++m_lastRun));
      fields.repeatable = true;
      fields.maxAttempts = 1;
      EXPECT_EQ(submit(fields), std::nullopt);
      for (const Start& start : pollStarts()) {
        used.push_back(start.endpoint().value());
        finish(start, behaviour(start.endpoint()));
      }
      now += step;
    }
    return used;
  }

  EndpointStats statsOf(const std::string& id) const
  {
    for (const EndpointStats& endpoint : dispatcher.stats().endpoints) {
      if (endpoint.id.value() == id) {
        return endpoint;
      }
    }
    return {};
  }

  TimePoint now = TimePoint(seconds(1000));
  Dispatcher dispatcher;
  std::vector<GiveUp> givenUp;

private:
  int m_lastRun = 0;
};

} // namespace cowslippin
