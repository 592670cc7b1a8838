#pragma once

#include "libcore/core.h"

namespace cowslippin {

/// What a caller is told when its submission isn't answered with what its tasks
/// said. Each says whether something of it may have run, and when to come back
/// if that helps.

/// Not run: this daemon takes nothing new.
Problem
drainingProblem();

/// Not run: the key stands for another submission.
Problem
keyReused();

/// May have run: it was taken here once, and how it ended is forgotten.
Problem
answerExpired();

/// May have run: nobody knows the job, perhaps any more.
Problem
unknownJob(const SubmissionKey& key);

/// May have run: this daemon can't yet tell who owns the job.
Problem
notCaughtUp();

/// Not run: the platform's log has not taken the claim in time.
Problem
notClaimedInTime();

/// May have run: it is still at work.
Problem
notEndedYet();

/// The same refusal where an earlier submission of the key may have run at a
/// daemon that can't be asked.
Problem
mayHaveRunBefore(const Problem& refusal);

} // namespace cowslippin
