#pragma once

/// Decides which task starts where and when, and which is refused. Free of
/// I/O: events and the time go in, actions come out.

#include "attemptend.h"
#include "attemptreport.h"
#include "dispatchaction.h"
#include "dispatcher.h"
#include "dispatchsettings.h"
#include "dispatchstats.h"
#include "finishresult.h"
#include "organisationshare.h"
#include "taskid.h"
#include "taskspec.h"
