#pragma once

#include "parse.h"

#include "libcore/problem.h"

#include <nlohmann/json.hpp>

#include <optional>
#include <string>
#include <string_view>

namespace cowslippin {

/// Receives the parts of a JSON document in their order, so that a decoder of
/// frequent documents needs no copy of each. Whatever its functions throw
/// leaves `visitJson`.
class JsonVisitor
{
public:
  virtual ~JsonVisitor() = default;

  /// The name of the member whose value comes next.
  virtual void visitName(const std::string& name) = 0;
  /// A string in UTF-8, which may be moved from.
  virtual void visitText(std::string& value) = 0;
  /// Null, a boolean or a number.
  virtual void visitScalar(const nlohmann::json& value) = 0;
  virtual void beginArray() = 0;
  virtual void endArray() = 0;
  virtual void beginObject() = 0;
  virtual void endObject() = 0;
};

/// Parses a JSON document in UTF-8 within the same limits as `parseJson`. A
/// problem is the same too; the visitor may have received parts before it.
std::optional<Problem>
visitJson(std::string_view text,
          const char* field,
          const ParseLimits& limits,
          JsonVisitor& visitor);

} // namespace cowslippin
