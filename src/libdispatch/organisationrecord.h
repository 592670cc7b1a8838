#pragma once

#include "organisationshare.h"

#include <vector>

namespace cowslippin {

class Lane;

/// An organisation with its tasks of all services.
struct OrganisationRecord
{
  bool mayStart() const { return inFlight < share.maxInFlight(); }

  OrganisationName name;
  OrganisationShare share;
  std::size_t queued = 0;
  int inFlight = 0;
  std::vector<Lane*> lanes;
};

} // namespace cowslippin
