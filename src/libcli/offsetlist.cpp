#include "offsetlist.h"

#include "callbuilder.h"
#include "jsontext.h"

namespace cowslippin {

namespace {

/// Asks one daemon, whose address is `daemon.httpAddress`.
DaemonOffset
askOffset(DaemonOffset daemon, const Transport& transport, Duration timeout)
{
  const Result<Address> address =
    Address::parse(daemon.httpAddress, "httpAddress");
  if (!address) {
    daemon.problem = address.error().detail();
    return daemon;
  }
  const CallEnd end = transport(*address, configCall(), timeout);
  if (!end) {
    daemon.problem = end.error().detail();
    return daemon;
  }
  const nlohmann::json json = jsonOrNull(end->body());
  const auto offset = json.find("offset");
  if (offset == json.end() || !offset->is_number_unsigned()) {
    daemon.problem = "status " + std::to_string(end->status()) +
                     " without the configuration's offset";
    return daemon;
  }
  daemon.offset = offset->get<Offset>();
  return daemon;
}

} // namespace

Result<std::vector<DaemonOffset>>
askOffsets(const CallReply& vmsReply,
           const Transport& transport,
           Duration timeout)
{
  const nlohmann::json json = jsonOrNull(vmsReply.body());
  if (!json.is_object() || !json.contains("vms")) {
    return failure(Problem(ProblemKind::MalformedBody,
                           RunState::NotRun,
                           "The daemon's list of VMs cannot be read"));
  }
  std::vector<DaemonOffset> offsets;
  for (const nlohmann::json& vm : listMember(json, "vms")) {
    DaemonOffset daemon;
    daemon.vm = textMember(vm, "id");
    daemon.zone = textMember(vm, "zone");
    daemon.httpAddress = textMember(vm, "httpAddress");
    if (!daemon.httpAddress.empty()) {
      offsets.push_back(askOffset(std::move(daemon), transport, timeout));
    }
  }
  return offsets;
}

} // namespace cowslippin
