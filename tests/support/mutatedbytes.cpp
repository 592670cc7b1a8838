#include "mutatedbytes.h"

#include <algorithm>
#include <utility>

namespace cowslippin::testing {

namespace {

constexpr std::size_t maxChanges = 8;
constexpr std::size_t depth = 3000;

} // namespace

MutatedBytes::MutatedBytes(std::vector<std::string> samples,
                           std::vector<std::string> fragments,
                           std::uint64_t seed)
  : m_samples(std::move(samples))
  , m_fragments(std::move(fragments))
  , m_random(seed)
{
}

std::string
MutatedBytes::next()
{
  std::string bytes = m_samples[below(m_samples.size())];
  const std::size_t changes = 1 + below(maxChanges);
  for (std::size_t i = 0; i < changes; ++i)
    bytes = changed(std::move(bytes));
  return bytes;
}

std::string
MutatedBytes::changed(std::string bytes)
{
  const std::size_t at = below(bytes.size() + 1);
  const std::size_t length =
    below(std::min<std::size_t>(bytes.size() - at, 20) + 1);
  const std::string& fragment = m_fragments[below(m_fragments.size())];
  switch (below(6)) {
    case 0:
      if (at < bytes.size())
        bytes[at] = static_cast<char>(bytes[at] ^ (1 << below(8)));
      return bytes;
    case 1:
      return bytes.erase(at, length);
    case 2:
      return bytes.insert(at, bytes.substr(at, length));
    case 3:
      return bytes.insert(at, fragment);
    case 4:
      return bytes.replace(at, length, fragment);
    default: {
      const std::string& other = m_samples[below(m_samples.size())];
      const std::size_t from = below(other.size() + 1);
      return bytes.insert(at, other.substr(from, below(20)));
    }
  }
}

std::size_t
MutatedBytes::below(std::size_t limit)
{
  return limit == 0 ? 0 : m_random() % limit;
}

std::vector<std::string>
jsonFragments()
{
  return { "[",
           "]",
           "{",
           "}",
           "null",
           "true",
           "\"",
           ",",
           ":",
           "-",
           "0",
           "-1",
           "4294967295",
           "4294967297",
           "9223372036854775807",
           "9223372036854775808",
           "18446744073709551615",
           "18446744073709551616",
           "-9223372036854775808",
           "1e300",
           "-1e300",
           "1e999",
           "0.5",
           "{\"a\":[1]}",
           "\"\\u0000\\ud800\"",
           "caf\xe9",
           "\xff\xfe",
           std::string(1, '\0'),
           std::string(5000, 'x'),
           std::string(depth, '['),
           std::string(depth, '[') + std::string(depth, ']'),
           std::string(depth, '{') };
}

std::vector<std::string>
cborFragments()
{
  return { std::string(1, '\0'),
           "\x01",
           "\x20",
           "\x3b\xff\xff\xff\xff\xff\xff\xff\xff",
           "\x1b\xff\xff\xff\xff\xff\xff\xff\xff",
           "\x1a\xff\xff\xff\xff",
           "\x1b\x7f\xff\xff\xff\xff\xff\xff\xff",
           "\xfb\x7f\xf0\x01\x02\x03\x04\x05\x06",
           "\xfb\xff\xf8\x01\x02\x03\x04\x05\x06",
           "\xf9\x7c\x01",
           "\xfb\x7e\x37\xe4\x3c\x88\x01\x75\x9c",
           "\x80",
           "\x81",
           "\x9f",
           "\xa1",
           "\xbf",
           "\x40",
           "\x5f",
           "\x60",
           "\x63\xff\xfe\xfd",
           "\x7f",
           "\xc1",
           "\xf4",
           "\xf6",
           "\xff",
           "\x9a\xff\xff\xff\xff",
           "\x7b\x7f\xff\xff\xff\xff\xff\xff\xff",
           "\x78\xc8" + std::string(200, 'n'),
           std::string(depth, '\x81'),
           std::string(depth, '\x9f'),
           std::string(depth, '\x5f'),
           std::string(depth, '\x7f') };
}

} // namespace cowslippin::testing
