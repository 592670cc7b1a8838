#pragma once

#include "evacuations.h"
#include "jobend.h"
#include "jobkey.h"
#include "jobrequest.h"
#include "libcore/shardid.h"
#include "runtimes.h"
#include "scheduler.h"
#include "shardmap.h"
#include "shardsizes.h"
#include "unresolvedstarts.h"
#include "workerpool.h"
