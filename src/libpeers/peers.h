#pragma once

#include "peercodec.h"
#include "peerconnections.h"
#include "peermessage.h"
