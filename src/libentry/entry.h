#pragma once

#include "clientlimits.h"
#include "configurationcheck.h"
#include "entrycore.h"
#include "entrydaemon.h"
#include "entrymetrics.h"
#include "gateway.h"
#include "operatorserver.h"
#include "routingtable.h"
