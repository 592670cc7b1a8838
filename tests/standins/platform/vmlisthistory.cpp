#include "vmlisthistory.h"

namespace cowslippin::standins {

namespace {

const nlohmann::json emptyList = { { "version", 0 },
                                   { "vms", nlohmann::json::array() },
                                   { "endpoints", nlohmann::json::array() } };

} // namespace

VmListHistory::VmListHistory()
  : m_versions{ { emptyList, Instant::min() } }
{
}

std::uint64_t
VmListHistory::replace(const nlohmann::json& list, Instant now)
{
  nlohmann::json next = m_versions.back().list;
  for (const char* member : { "vms", "endpoints" }) {
    if (list.contains(member)) {
      next[member] = list.at(member);
    }
  }
  const std::uint64_t version = m_versions.size();
  next["version"] = version;
  m_versions.push_back({ std::move(next), now });
  return version;
}

nlohmann::json
VmListHistory::at(Instant at) const
{
  for (auto version = m_versions.rbegin(); version != m_versions.rend();
       ++version) {
    if (version->since <= at) {
      return version->list;
    }
  }
  return m_versions.front().list;
}

} // namespace cowslippin::standins
