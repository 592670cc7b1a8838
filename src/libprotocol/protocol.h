#pragma once

/// The protocol that daemons speak with each other: its messages, their
/// encoding, and the network of connections that carries them.

#include "codec.h"
#include "message.h"
#include "peernetwork.h"
#include "peerstatus.h"
