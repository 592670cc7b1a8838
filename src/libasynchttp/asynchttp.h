#pragma once

#include "asynchttpconnection.h"
#include "asynchttpconnectionpool.h"
#include "asynchttpserver.h"
#include "connectionbudget.h"
