#pragma once

/// HTTP in both directions: the server that callers and operators talk to,
/// and the client that runs tasks on endpoints.

#include "callend.h"
#include "endpointcall.h"
#include "endpointclient.h"
#include "httpheader.h"
#include "httpreply.h"
#include "httprequest.h"
#include "httpserver.h"
#include "pathparameters.h"
#include "problemreply.h"
#include "router.h"
#include "urlencoding.h"
