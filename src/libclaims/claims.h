#pragma once

/// Who owns a submission: the claim table folds the region's claim stream, and
/// tickets name their owner without it. Free of I/O and of clocks.

#include "claimbatch.h"
#include "claimdecision.h"
#include "claimentry.h"
#include "claimevent.h"
#include "claimkey.h"
#include "claimlimits.h"
#include "claimtable.h"
#include "ticket.h"
#include "ticketbook.h"
#include "ticketissuer.h"
#include "ticketuse.h"
