#include "libhttp/http.h"

#include <gtest/gtest.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include <fstream>
#include <string>
#include <vector>

namespace cowslippin {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

constexpr std::size_t crowdSize = 20;
constexpr std::size_t maxGrowthKb = std::size_t(64) << 10;

/// The resident memory of this process.
std::size_t
residentKb()
{
  std::ifstream status("/proc/self/status");
  for (std::string word; status >> word;) {
    std::size_t value = 0;
    if (word == "VmRSS:" && status >> value)
      return value;
  }
  return 0;
}

/// Guards against memory of many bodies that stop short of their end.
TEST(HttpServerCrowd, UnfinishedBodiesStayWithinMemory)
{
  HttpServer::Settings settings;
  settings.minThreads = 2 * crowdSize;
  HttpServer server(settings, [](const HttpRequest&) {
    HttpReply::Fields fields;
    fields.status = 200;
    return HttpReply(fields);
  });
  asio::io_context context;
  const tcp::endpoint endpoint(asio::ip::make_address(server.address().host()),
                               server.address().port());
  const std::string head = "POST / HTTP/1.1\r\nHost: daemon\r\n"
                           "Content-Length: " +
                           std::to_string(settings.maxBodyBytes) + "\r\n\r\n";
  const std::string body(settings.maxBodyBytes - 8, 'x');
  const std::size_t before = residentKb();
  std::vector<tcp::socket> crowd;
  for (std::size_t i = 0; i < crowdSize; ++i) {
    crowd.emplace_back(context);
    crowd.back().connect(endpoint);
    boost::system::error_code ignored;
    asio::write(crowd.back(), asio::buffer(head), ignored);
    asio::write(crowd.back(), asio::buffer(body), ignored);
  }
  tcp::socket caller(context);
  caller.connect(endpoint);
  asio::write(
    caller,
    asio::buffer(std::string("GET / HTTP/1.1\r\nHost: daemon\r\n\r\n")));
  std::string reply;
  asio::read_until(caller, asio::dynamic_buffer(reply), "\r\n");
  EXPECT_EQ(reply.rfind("HTTP/1.1 200", 0), 0u) << reply;
  EXPECT_LT(residentKb(), before + maxGrowthKb);
}

} // namespace
} // namespace cowslippin
