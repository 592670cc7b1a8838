#pragma once

#include "parse.h"

#include <string_view>

namespace cowslippin {

/// Why a document isn't parsed, in a few words without its bytes; null if it
/// may be. The check takes no memory that grows with the document and doesn't
/// call itself.
const char*
jsonStructureFault(std::string_view text, const ParseLimits& limits);

/// As `jsonStructureFault`, for CBOR. Bytes without a fault are one whole item.
const char*
cborStructureFault(std::string_view bytes, const ParseLimits& limits);

} // namespace cowslippin
