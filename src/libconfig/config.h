#pragma once

/// The configuration that operators publish: templates and organisation
/// parameters, the records that change them, and the fold of those records.

#include "acceptedrecord.h"
#include "applyresult.h"
#include "configjson.h"
#include "configrecord.h"
#include "configsnapshot.h"
#include "configuration.h"
#include "organisationparameters.h"
#include "recordid.h"
#include "template.h"
