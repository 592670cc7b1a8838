#include "parse.h"

#include "jsonscanner.h"
#include "structurecheck.h"

#include "libcore/displaytext.h"

#include <utility>

namespace cowslippin {

namespace {

using nlohmann::json;

constexpr const char* cborFormat = "CBOR";

std::string
describe(const char* format, const ParseLimits& limits)
{
  return std::string(format) + " of at most " +
         std::to_string(limits.maxBytes) + " bytes, " +
         std::to_string(limits.maxDepth) + " levels and " +
         std::to_string(limits.maxValues) + " values";
}

Problem
malformedBody(const char* field,
              const std::string& fault,
              const std::string& allowed)
{
  return Problem(ProblemKind::MalformedBody,
                 RunState::NotRun,
                 std::string(field) + " is " + fault + "; allowed is " +
                   allowed);
}

tl::unexpected<Problem>
malformed(const char* field,
          const std::string& fault,
          const std::string& allowed)
{
  return failure(malformedBody(field, fault, allowed));
}

std::string
faultOf(std::string_view text, const json::parse_error& error)
{
  const std::string at = "at byte " + std::to_string(error.byte);
  return isUtf8(text) ? "not JSON " + at : "not UTF-8 " + at;
}

template<class Json>
Result<Json>
parseAs(std::string_view text, const char* field, const ParseLimits& limits)
{
  constexpr const char* format = "JSON in UTF-8";
  if (const char* fault = jsonStructureFault(text, limits))
    return malformed(field, fault, describe(format, limits));
  try {
    return Json::parse(text);
  } catch (const json::parse_error& error) {
    return malformed(field, faultOf(text, error), describe(format, limits));
  } catch (const json::exception&) {
    return malformed(
      field, "a number that is too large", describe(format, limits));
  }
}

} // namespace

Result<json>
parseJson(std::string_view text, const char* field, const ParseLimits& limits)
{
  return parseAs<json>(text, field, limits);
}

Result<nlohmann::ordered_json>
parseOrderedJson(std::string_view text,
                 const char* field,
                 const ParseLimits& limits)
{
  return parseAs<nlohmann::ordered_json>(text, field, limits);
}

std::optional<Problem>
visitJson(std::string_view text,
          const char* field,
          const ParseLimits& limits,
          JsonVisitor& visitor)
{
  if (!jsonStructureFault(text, limits) && JsonScanner(text, visitor).scan())
    return std::nullopt;
  // The parser that makes a document describes the fault.
  const auto document = parseJson(text, field, limits);
  return document ? malformed(field, "not JSON", "JSON in UTF-8").value()
                  : document.error();
}

std::optional<Problem>
cborProblem(std::string_view bytes,
            const char* field,
            const ParseLimits& limits)
{
  if (const char* fault = cborStructureFault(bytes, limits))
    return malformedBody(field, fault, describe(cborFormat, limits));
  return std::nullopt;
}

Result<json>
parseCbor(std::string_view bytes, const char* field, const ParseLimits& limits)
{
  if (auto problem = cborProblem(bytes, field, limits))
    return failure(std::move(*problem));
  json document = json::from_cbor(bytes, true, false);
  if (document.is_discarded())
    return malformed(field, "not CBOR", describe(cborFormat, limits));
  return document;
}

} // namespace cowslippin
