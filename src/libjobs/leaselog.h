#pragma once

#include "libworkers/leaseevents.h"
#include "libworkers/presumedoverruns.h"

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
/// `token` is that of the lease whose report lists the run. `state` is
/// `running`, or how the run has ended.
void
logRunReappeared(const WorkerId& worker,
                 FencingToken token,
                 const RunReappeared& note,
                 const char* state);

} // namespace cowslippin
