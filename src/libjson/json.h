#pragma once

/// Parses JSON and CBOR that another program may have written, within limits,
/// reads values from them with checks of type and range, and writes both. No
/// other code calls a parser or `dump` of nlohmann's library, which
/// `scripts/check-parsers` checks.

#include "cborreader.h"
#include "cborwriter.h"
#include "jsontext.h"
#include "jsonvalue.h"
#include "jsonvisitor.h"
#include "parse.h"
