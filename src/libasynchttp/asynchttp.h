#pragma once

#include "asynchttpserver.h"
#include "httpchannel.h"
#include "httpchannelpool.h"
