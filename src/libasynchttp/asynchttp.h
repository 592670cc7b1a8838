#pragma once

#include "asynchttpconnectionpool.h"
#include "asynchttpserver.h"
#include "httpchannel.h"
