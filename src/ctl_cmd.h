#pragma once

#include "ctl_type.h"

namespace hickory {

/// `check FILE`: validates a configuration file locally, without contacting an entry.
CtlResult runCheck(const CtlOptions& options);

/// `diff FILE`: shows how a configuration file differs from the configuration in force.
CtlResult runDiff(const CtlOptions& options);

/// `apply FILE`: submits a configuration; with --wait, prints each host on which it comes into force.
CtlResult runApply(const CtlOptions& options);

/// `show`: prints the configuration of a generation.
CtlResult runShow(const CtlOptions& options);

/// `history`: lists the newest configuration generations.
CtlResult runHistory(const CtlOptions& options);

/// `status`: lists every host with its state, configuration generation and load.
CtlResult runStatus(const CtlOptions& options);

/// `upstreams`: lists the upstreams known to one entry.
CtlResult runUpstreams(const CtlOptions& options);

/// `rollout`: shows the rollout progress of model versions.
CtlResult runRollout(const CtlOptions& options);

/// `request SERVICE PATH`: sends a request to a service and prints the response as it arrives.
CtlResult runRequest(const CtlOptions& options);

/// `explain REQUEST`: prints the log lines of all processes about one request id, and about crashes that its lines name
/// by a trait, ordered by time.
CtlResult runExplain(const CtlOptions& options);

/// `publish FILE`: uploads model weights and their manifest to the platform.
CtlResult runPublish(const CtlOptions& options);

/// `config check FILE` and `config diff FILE --against FILE`: examines a configuration document of the platform
/// locally. Exit codes: 0 nothing found, 1 findings or differences, 2 a document cannot be read or bad usage.
CtlResult runDocument(const CtlOptions& options);

} // namespace hickory
