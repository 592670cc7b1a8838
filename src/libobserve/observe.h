#pragma once

/// What a daemon tells of itself: JSON-line logs, metrics and state dumps.

#include "counter.h"
#include "eventratelimiter.h"
#include "guard.h"
#include "idlist.h"
#include "latencyrecorder.h"
#include "latencysummary.h"
#include "logfield.h"
#include "logging.h"
#include "loglevel.h"
#include "logrank.h"
#include "metrics.h"
#include "queueshare.h"
#include "statedump.h"
