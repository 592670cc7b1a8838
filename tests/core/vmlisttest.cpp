#include "libcore/core.h"

#include <gtest/gtest.h>

namespace cowslippin {
namespace {

VirtualMachine::Fields
vmFields(const char* id)
{
  VirtualMachine::Fields fields;
  fields.id = VmId(id);
  fields.zone = ZoneName("z1");
  fields.peerAddress = Address("127.0.0.1", 7401);
  fields.httpAddress = Address("127.0.0.1", 7400);
  return fields;
}

Endpoint::Fields
endpointFields()
{
  Endpoint::Fields fields;
  fields.id = EndpointId("endpoint-1");
  fields.service = ServiceName("booking");
  fields.zone = ZoneName("z1");
  fields.address = Address("127.0.0.1", 9000);
  fields.slots = 8;
  fields.connections = 64;
  return fields;
}

TEST(VmList, FindsAVmByItsId)
{
  const VmList list(
    3,
    { VirtualMachine(vmFields("vm-1")), VirtualMachine(vmFields("vm-2")) },
    {});
  ASSERT_NE(list.find(VmId("vm-2")), nullptr);
  EXPECT_EQ(list.find(VmId("vm-2"))->id(), VmId("vm-2"));
  EXPECT_EQ(list.find(VmId("vm-3")), nullptr);
  EXPECT_EQ(VmList().find(VmId("vm-1")), nullptr);
}

TEST(VmList, ComparesVersionVmsAndEndpoints)
{
  const VirtualMachine vm(vmFields("vm-1"));
  const Endpoint endpoint(endpointFields());
  const VmList list(3, { vm }, { endpoint });
  EXPECT_EQ(list, VmList(3, { vm }, { endpoint }));
  EXPECT_NE(list, VmList(4, { vm }, { endpoint }));
  EXPECT_NE(list, VmList(3, {}, { endpoint }));
  EXPECT_NE(list, VmList(3, { vm }, {}));
}

/// Changes one field, so that the changed value must differ.
template<class Fields>
using Change = void (*)(Fields&);

TEST(VirtualMachine, ComparesEveryField)
{
  const Change<VirtualMachine::Fields> changes[] = {
    [](auto& fields) { fields.id = VmId("other"); },
    [](auto& fields) { fields.role = VmRole::Worker; },
    [](auto& fields) { fields.zone = ZoneName("other"); },
    [](auto& fields) { fields.peerAddress = Address(); },
    [](auto& fields) { fields.httpAddress = Address(); },
    [](auto& fields) { fields.availability = Availability::Leaving; },
  };
  const VirtualMachine vm(vmFields("vm-1"));
  EXPECT_EQ(vm, VirtualMachine(vmFields("vm-1")));
  for (const auto& change : changes) {
    VirtualMachine::Fields fields = vmFields("vm-1");
    change(fields);
    EXPECT_NE(VirtualMachine(fields), vm) << "change " << &change - changes;
  }
}

TEST(Endpoint, ComparesEveryField)
{
  const Change<Endpoint::Fields> changes[] = {
    [](auto& fields) { fields.id = EndpointId("other"); },
    [](auto& fields) { fields.service = ServiceName("other"); },
    [](auto& fields) { fields.zone = ZoneName("other"); },
    [](auto& fields) { fields.address = Address(); },
    [](auto& fields) { fields.slots = 9; },
    [](auto& fields) { fields.connections = 65; },
    [](auto& fields) { fields.availability = Availability::Leaving; },
  };
  const Endpoint endpoint(endpointFields());
  EXPECT_EQ(endpoint, Endpoint(endpointFields()));
  for (const auto& change : changes) {
    Endpoint::Fields fields = endpointFields();
    change(fields);
    EXPECT_NE(Endpoint(fields), endpoint) << "change " << &change - changes;
  }
}

} // namespace
} // namespace cowslippin
