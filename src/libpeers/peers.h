#pragma once

#include "peercodec.h"
#include "peerlinks.h"
#include "peermessage.h"
