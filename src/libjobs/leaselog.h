#pragma once

#include "libworkers/leaseevents.h"

#include "libcore/core.h"

namespace cowslippin {

/// Log events of a worker's lease. A task's name begins with its job's id.

void
logOrphanFound(const WorkerId& worker, const RunKey& key);
void
logOrphanEnded(const WorkerId& worker, const RunKey& key, RunEnd end);
void
logStartUnresolved(const WorkerId& worker, const RunKey& key);
void
logLeaseEvent(const WorkerId& worker, const OrphanStopped& note);
void
logLeaseEvent(const WorkerId& worker, const StopFailed& note);
void
logLeaseEvent(const WorkerId& worker, const EndingRunRenewed& note);
void
logLeaseEvent(const WorkerId& worker, const LeaseExpired& note);
/// Logs nothing for a refused start, which has an event of its own.
void
logLeaseEvent(const WorkerId& worker, const RunPresumedOver& note);

} // namespace cowslippin
