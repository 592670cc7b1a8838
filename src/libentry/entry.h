#pragma once

#include "entrycore.h"
#include "entrydaemon.h"
#include "gateway.h"
#include "routingtable.h"
