#pragma once

#include "ctl_type.h"

namespace hickory {

/// `check FILE`: checks a text without any entry.
CtlResult runCheck(const CtlOptions& options);

/// `diff FILE`: shows what a text would change.
CtlResult runDiff(const CtlOptions& options);

/// `apply FILE`: has a text accepted; with --wait prints each host on which it came into force.
CtlResult runApply(const CtlOptions& options);

/// `show`: prints the text of a generation.
CtlResult runShow(const CtlOptions& options);

/// `history`: lists the newest generations.
CtlResult runHistory(const CtlOptions& options);

/// `status`: lists every host with its generation and work.
CtlResult runStatus(const CtlOptions& options);

/// `upstreams`: lists the upstreams as one entry sees them.
CtlResult runUpstreams(const CtlOptions& options);

/// `rollout`: shows the progress of model versions.
CtlResult runRollout(const CtlOptions& options);

/// `request SERVICE PATH`: sends a caller's request and streams the answer.
CtlResult runRequest(const CtlOptions& options);

/// `explain REQUEST`: prints what all processes logged about one attempt of a caller, in order of time.
CtlResult runExplain(const CtlOptions& options);

/// `publish FILE`: uploads weights and their manifest.
CtlResult runPublish(const CtlOptions& options);

} // namespace hickory
