#include "platform/workerclient.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <boost/asio/io_context.hpp>

#include <optional>

namespace cowslippin::testing {
namespace {

using namespace platform;
using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// A worker that records requests, and its client, on one thread.
class WorkerCalls : public ::testing::Test
{
protected:
  using Transaction = std::shared_ptr<HttpTransaction>;

  WorkerCalls()
    : client(context)
    , server(
        context,
        AsyncHttpServer::Settings(),
        [this](const HttpRequest& request, const Transaction& transaction) {
          requests.push_back(request);
          transactions.push_back(transaction);
          if (isAnswering)
            transaction->answer(HttpReply::json(200, answer));
        })
  {
    boost::asio::ip::tcp::acceptor probe(
      context, { boost::asio::ip::make_address("127.0.0.1"), 0 });
    address = Address("127.0.0.1", probe.local_endpoint().port());
    probe.close();
    EXPECT_EQ(server.listen(address), std::nullopt);
  }

  WorkerRecord record(const std::string& id = "worker-1") const
  {
    WorkerRecord::Fields fields;
    fields.id = WorkerId(id);
    fields.address = address;
    return WorkerRecord(fields);
  }

  template<class Condition>
  void await(Condition condition)
  {
    const TimePoint limit = steadyNow() + seconds(20);
    while (!condition()) {
      ASSERT_LT(steadyNow(), limit);
      context.run_one_for(milliseconds(10));
      context.restart();
    }
  }

  boost::asio::io_context context;
  WorkerClient client;
  AsyncHttpServer server;
  Address address;
  bool isAnswering = true;
  std::string answer = "{}";
  std::vector<HttpRequest> requests;
  std::vector<Transaction> transactions;
};

/// Guards against requests that the composed text makes other than a document
/// of the same values would, for any task and specification.
TEST_F(WorkerCalls, AStartIsSentWithItsValues)
{
  const StartOrder order{ 18446744073709551615u,
                          RunKey("a\"b\\c", 7),
                          "spec\n\x01 \"caf\xc3\xa9\" \xff",
                          -5 };
  std::optional<OrderAnswer> end;
  client.startRun(record("w 1/\xc3\xa9"),
                  order,
                  seconds(20),
                  [&](const auto& value) { end = value; });
  await([&] { return end.has_value(); });
  EXPECT_EQ(*end, std::nullopt);
  ASSERT_EQ(requests.size(), 1u);
  EXPECT_EQ(requests[0].method(), "POST");
  EXPECT_EQ(requests[0].path(), "/v1/run-start");
  EXPECT_EQ(requests[0].header("Content-Type"), "application/json");
  EXPECT_EQ(requests[0].header("Host"), address.toString());
  EXPECT_EQ(requests[0].header("X-Cowslippin-Target-Instance"), "w 1/\xc3\xa9");
  EXPECT_EQ(json::parse(requests[0].body()),
            (json{ { "task", "a\"b\\c" },
                   { "run", 7 },
                   { "spec", "spec\n\x01 \"caf\xc3\xa9\" \xef\xbf\xbd" },
                   { "deadline_ms", -5 },
                   { "fencing_token", 18446744073709551615u } }));
}

TEST_F(WorkerCalls, AReportRequestIsSentWithTheValuesThatItHas)
{
  answer = R"({"clock_ms":5,"running":[],"finished":[]})";
  std::vector<LeaseOrderAnswer> ends;
  const auto done = [&](const LeaseOrderAnswer& end) { ends.push_back(end); };
  LeaseOrder order;
  order.token = 12;
  order.acknowledgedEnd = 3;
  client.renewLease(record(), order, seconds(20), done);
  await([&] { return ends.size() == 1; });
  order.deadlineMs = 99;
  order.maxWait = milliseconds(500);
  client.renewLease(record(), order, seconds(20), done);
  await([&] { return ends.size() == 2; });
  EXPECT_EQ(requests[0].path(), "/v1/hold");
  EXPECT_EQ(json::parse(requests[0].body()),
            (json{ { "fencing_token", 12 }, { "ack_cursor", 3 } }));
  EXPECT_EQ(json::parse(requests[1].body()),
            (json{ { "fencing_token", 12 },
                   { "ack_cursor", 3 },
                   { "deadline_ms", 99 },
                   { "wait_ms", 500 } }));
  ASSERT_TRUE(std::holds_alternative<WorkerReport>(ends[1]));
  EXPECT_EQ(std::get<WorkerReport>(ends[1]).clockMs, 5);
}

TEST_F(WorkerCalls, AStopIsSentWithItsValues)
{
  std::optional<OrderAnswer> end;
  client.stopRun(record(),
                 { 12, RunKey("t", 2) },
                 seconds(20),
                 [&](const auto& value) { end = value; });
  await([&] { return end.has_value(); });
  EXPECT_EQ(requests[0].path(), "/v1/run-stop");
  EXPECT_EQ(json::parse(requests[0].body()),
            (json{ { "task", "t" }, { "run", 2 }, { "fencing_token", 12 } }));
}

/// Guards against the use of connections that were replaced, as the worker has
/// a new address, by the callback of a call that ends on them.
TEST_F(WorkerCalls, TheEndOfACallMayReplaceItsConnections)
{
  isAnswering = false;
  std::optional<OrderAnswer> first;
  std::optional<OrderAnswer> second;
  WorkerRecord::Fields moved;
  moved.id = WorkerId("worker-1");
  moved.address = Address("127.0.0.2", 1);
  client.startRun(record(), {}, milliseconds(1), [&](const auto& value) {
    first = value;
    client.startRun(WorkerRecord(moved), {}, seconds(20), [&](const auto& end) {
      second = end;
    });
  });
  await([&] { return !requests.empty(); });
  await([&] {
    client.tick(steadyNow());
    return first.has_value();
  });
  EXPECT_EQ(*first, OrderFailure::Unanswered);
  await([&] { return second.has_value(); });
  EXPECT_EQ(*second, OrderFailure::NotSent) << "nothing listens there";
}

TEST_F(WorkerCalls, ACallToAnEarlierAddressEnds)
{
  isAnswering = false;
  std::vector<OrderAnswer> ends;
  const auto done = [&](const OrderAnswer& end) { ends.push_back(end); };
  const StopOrder order{ 1, RunKey("t", 1) };
  client.stopRun(record(), order, seconds(20), done);
  await([&] { return transactions.size() == 1; });
  WorkerRecord::Fields fields;
  fields.id = WorkerId("worker-1");
  fields.address = Address("127.0.0.2", address.port());
  client.stopRun(WorkerRecord(fields), order, seconds(20), done);
  client.tick(steadyNow());
  ASSERT_FALSE(ends.empty());
  EXPECT_EQ(ends[0], OrderFailure::Unanswered);
}

} // namespace
} // namespace cowslippin::testing
