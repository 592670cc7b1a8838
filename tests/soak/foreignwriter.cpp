#include "foreignwriter.h"

#include "support/mutatedbytes.h"
#include "support/peersamples.h"

#include <array>

namespace cowslippin::testing {

namespace {

/// Half of a record of the store in opening brackets.
constexpr std::size_t deepest = 131'000;
constexpr std::size_t messageBytes = 1'000'000;

std::string
nested(std::size_t depth)
{
  return std::string(depth, '[') + std::string(depth, ']');
}

/// A daemon connects to the addresses in such a message, and a changed one may
/// lie outside of this machine.
bool
hasAddresses(const PeerMessage& message)
{
  return std::holds_alternative<PeerHello>(message) ||
         std::holds_alternative<PeerAddresses>(message);
}

} // namespace

/// JSON, or not quite.
std::string
ForeignWriter::value()
{
  const std::vector<std::string> fragments = jsonFragments();
  switch (below(4)) {
    case 0:
      return nested(1 + below(deepest));
    case 1:
      return '"' + std::string(below(200'000), 'x') + '"';
    case 2:
      return "\"caf\xe9\"";
    default:
      return fragments[below(fragments.size())];
  }
}

/// A worker's entry of which one field has another value.
std::string
ForeignWriter::entry()
{
  std::array<std::string, 6> values{
    "\"booking\"", "\"z0\"",          "\"ready\"",
    "4",           "\"127.9.0.1:9\"", R"({"cpu":16000,"mem_mb":1000})"
  };
  values[below(values.size())] = value();
  return "{\"backend\":" + values[0] + ",\"zone\":" + values[1] +
         ",\"state\":" + values[2] + ",\"seq\":" + values[3] +
         ",\"address\":" + values[4] + ",\"capacity\":" + values[5] + "}";
}

ForeignWriter::Record
ForeignWriter::record()
{
  const std::string number = std::to_string(below(50));
  switch (below(5)) {
    case 0:
      return { "keyed.cowslippin", "holder/z0/" + number, value() };
    case 1:
      return { "keyed.cowslippin", "member/" + number, value() };
    case 2:
      return { "keyed.op", "x\r\n\xff" + number, value() };
    default:
      return { "keyed.servers", "i-" + number, entry() };
  }
}

std::string
ForeignWriter::jobBody()
{
  std::array<std::string, 4> values{ "\"text\"", "2", "1000", "20" };
  values[below(values.size())] = value();
  return "{\"best_effort\":true,\"spec\":" + values[0] +
         ",\"steps\":[{\"count\":" + values[1] + ",\"cpu\":" + values[2] +
         ",\"estimate_ms\":" + values[3] + "}]}";
}

std::string
ForeignWriter::jobId()
{
  const std::array<std::string, 4> ids{
    "caf\xe9", "a.0.0.1", std::string(3000, 'a'), "foreign"
  };
  return ids[below(ids.size())];
}

std::string
ForeignWriter::peerMessage()
{
  constexpr std::array<unsigned char, 6> items{ 0x81, 0x9f, 0xa1,
                                                0x5f, 0x7f, 0xc1 };
  if (below(2) == 0)
    return std::string(messageBytes,
                       static_cast<char>(items[below(items.size())]));
  std::vector<std::string> inputs;
  for (const PeerMessage& message : samples()) {
    if (!hasAddresses(message))
      inputs.push_back(encoded(message));
  }
  return MutatedBytes(inputs, cborFragments(), m_random()).next();
}

} // namespace cowslippin::testing
