#pragma once

/// The value types that every other library shares: names, times, outcomes
/// and problems, VMs and endpoints.

#include "address.h"
#include "clock.h"
#include "displaytext.h"
#include "endpoint.h"
#include "ids.h"
#include "name.h"
#include "nametext.h"
#include "problem.h"
#include "problemjson.h"
#include "result.h"
#include "runstate.h"
#include "shardid.h"
#include "taskoutcome.h"
#include "virtualmachine.h"
#include "vmlist.h"
