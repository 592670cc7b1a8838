#pragma once

/// Clients of the platform: its append-only log and its list of VMs.

#include "appendbudget.h"
#include "appendresult.h"
#include "clientidentity.h"
#include "logclient.h"
#include "logfollower.h"
#include "logpage.h"
#include "platformconnection.h"
#include "vmlistclient.h"
