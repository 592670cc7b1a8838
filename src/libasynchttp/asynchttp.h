#pragma once

#include "asynchttpserver.h"
#include "httpchannel.h"
#include "asynchttpconnectionpool.h"
