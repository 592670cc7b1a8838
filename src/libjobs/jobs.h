#pragma once

#include "evacuatedzones.h"
#include "jobend.h"
#include "jobkey.h"
#include "joblimits.h"
#include "jobrequest.h"
#include "libcore/shardid.h"
#include "runtimes.h"
#include "scheduler.h"
#include "shardmap.h"
#include "shardsizelimits.h"
#include "unresolvedstarts.h"
#include "workerpool.h"
