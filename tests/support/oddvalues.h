#pragma once

#include <cstddef>
#include <string>
#include <utility>
#include <vector>

namespace cowslippin::testing {

/// A value in JSON, or a part of one, that no reader expects, with a name for
/// the test's output.
struct OddValue
{
  std::string name;
  std::string text;
};

/// Maximum length of a record of the store, with its key.
constexpr std::size_t maxStoreRecordBytes = 262'144;

inline std::string
repeatedText(const std::string& part, std::size_t times)
{
  std::string text;
  text.reserve(part.size() * times);
  for (std::size_t i = 0; i < times; ++i)
    text += part;
  return text;
}

inline std::string
nestedText(const std::string& begin, const std::string& end, std::size_t depth)
{
  return repeatedText(begin, depth) + repeatedText(end, depth);
}

/// Values that no entry may contain, in fields that are read or in others:
/// nested too deep, or with numbers that can't be represented.
inline std::vector<OddValue>
unreadableValues()
{
  const std::size_t most = maxStoreRecordBytes - 1024;
  return {
    { "deep lists", nestedText("[", "]", most / 2) },
    { "deep objects", nestedText("{\"a\":", "}", most / 7) },
    { "deep and mixed", nestedText("[{\"a\":", "}]", most / 9) },
    { "lists of 40 levels", nestedText("[", "]", 40) },
    { "lists without an end", std::string(most, '[') },
    { "200,000 digits", std::string(200'000, '9') },
    { "400 digits", std::string(400, '9') },
    { "1e999", "1e999" },
    { "-1e999", "-1e999" },
  };
}

/// Numbers that can be represented, but are out of the range of any field that
/// is read as a whole number.
inline std::vector<OddValue>
largeNumbers()
{
  return { { "2^63", "9223372036854775808" },
           { "2^64", "18446744073709551616" },
           { "2^64-1", "18446744073709551615" },
           { "-2^63", "-9223372036854775808" },
           { "1e300", "1e300" },
           { "-1e300", "-1e300" },
           { "above 2^53", "9007199254740993" } };
}

/// Ports out of range, or that aren't numbers, as parts of an address.
inline std::vector<std::string>
oddPorts()
{
  return { "0",     "65536", "70000", "-1",  "99999999999999999999",
           "80 80", "+80",   "0x50",  " 80", "80 ",
           "",      "8e1",   "80.0",  "00",  "port" };
}

/// Hosts that name no machine to connect to, as parts of an address.
inline std::vector<std::string>
oddHosts()
{
  return { "nowhere",
           "localhost",
           "",
           "10.0.0",
           "10.0.0.256",
           "10.0.0.1.",
           "0.0.0.0",
           "255.255.255.255",
           "224.0.0.1",
           "::1",
           "[::1",
           "[::]",
           "[ff02::1]",
           "[fe80::1%eth0]",
           "[::ffff:0.0.0.0]",
           "[10.0.0.1]",
           "[]",
           "10.0.0.1:80" };
}

} // namespace cowslippin::testing
