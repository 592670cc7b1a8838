#pragma once

#include "name.h"

#include <cstdint>

namespace cowslippin {

/// An organisation that submits work and has parameters of its own.
using OrganisationName = Name<struct OrganisationTag>;

/// A published job template.
using TemplateName = Name<struct TemplateTag>;

/// A service that endpoints offer, such as `booking`.
using ServiceName = Name<struct ServiceTag>;

/// An availability zone.
using ZoneName = Name<struct ZoneTag>;

/// A VM as the platform's list names it.
using VmId = Name<struct VmTag>;

/// An endpoint as the platform's list names it.
using EndpointId = Name<struct EndpointTag>;

/// One life of a worker. A worker that restarts has a new id.
using WorkerId = Name<struct WorkerTag>;

/// A job as its caller names it.
using JobId = Name<struct JobTag>;

/// One run of a daemon process. A restarted daemon has a new incarnation.
using Incarnation = Name<struct IncarnationTag>;

/// The idempotency key of a submission, already scoped to its organisation.
using SubmissionKey = Name<struct SubmissionTag>;

/// A stream of the platform's log.
using StreamName = Name<struct StreamTag>;

/// A position in a stream of the platform's log.
using Offset = std::uint64_t;

/// The position of a task within its submission, from 0.
using TaskIndex = std::uint32_t;

} // namespace cowslippin
