#include "libcore/core.h"

#include <gtest/gtest.h>

namespace cowslippin {
namespace {

struct GoodAddress
{
  const char* text;
  Address address;
};

TEST(Address, ReadsAndWritesEachForm)
{
  const GoodAddress table[] = {
    { "127.0.0.1:8080", Address("127.0.0.1", 8080) },
    { "0.0.0.0:0", Address("0.0.0.0", 0) },
    { "10.1.2.3:65535", Address("10.1.2.3", 65535) },
    { "[::1]:8080", Address("::1", 8080) },
    { "[fe80::12]:1", Address("fe80::12", 1) },
  };
  for (const GoodAddress& good : table) {
    const Result<Address> address = Address::parse(good.text, "listen");
    ASSERT_TRUE(address) << good.text;
    EXPECT_EQ(*address, good.address) << good.text;
    EXPECT_EQ(address->toString(), good.text);
  }
}

TEST(Address, RefusesEverythingElseByNameAndValue)
{
  const char* const table[] = {
    "",
    ":",
    "127.0.0.1",
    "127.0.0.1:",
    ":8080",
    "127.0.0.1:65536",
    "127.0.0.1:-1",
    "127.0.0.1:+1",
    "127.0.0.1: 80",
    "127.0.0.1:80 ",
    "127.0.0.1:0x50",
    "127.0.0.1:http",
    "127.0.0.1:80:80",
    "127.0.0:80",
    "256.0.0.1:80",
    "localhost:80",
    "::1:80",
    "[]:80",
    "[::1]",
    "[::1:80",
    "[127.0.0.1]:80",
    "[::g]:80",
    "http://127.0.0.1:80",
  };
  for (const char* text : table) {
    const Result<Address> address = Address::parse(text, "listen");
    ASSERT_FALSE(address) << text;
    EXPECT_EQ(address.error().kind(), ProblemKind::InvalidField) << text;
    EXPECT_EQ(address.error().field(), "listen") << text;
    EXPECT_EQ(address.error().value(), text);
    EXPECT_FALSE(address.error().allowed().empty()) << text;
  }
}

TEST(Address, OrdersByHostThenPort)
{
  EXPECT_LT(Address("10.0.0.1", 9), Address("10.0.0.2", 1));
  EXPECT_LT(Address("10.0.0.1", 1), Address("10.0.0.1", 9));
  EXPECT_FALSE(Address("10.0.0.1", 1) < Address("10.0.0.1", 1));
}

} // namespace
} // namespace cowslippin
