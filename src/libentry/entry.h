#pragma once

#include "entrydaemon.h"
#include "gateway.h"
#include "routingtable.h"
