#include "claimbatch.h"

#include "libjson/json.h"

#include <nlohmann/json.hpp>

#include <tuple>

namespace cowslippin {

namespace {

using Json = nlohmann::json;

constexpr std::uint64_t formatVersion = 1;
constexpr char versionMember[] = "claims";
constexpr char ownerMember[] = "owner";
constexpr char batchMember[] = "batch";
constexpr char readUpToMember[] = "readUpTo";
constexpr char entriesMember[] = "entries";
constexpr char keyMember[] = "key";
constexpr char supersedesMember[] = "supersedes";
constexpr std::size_t batchMemberCount = 5;
constexpr ParseLimits recordLimits{ std::size_t(16) << 20, 4, 1'000'000 };

Problem
malformed(const std::string& detail)
{
  return { ProblemKind::MalformedBody, RunState::NotRun, detail };
}

Result<std::uint64_t>
number(const Json& json, const char* member)
{
  const auto found = json.find(member);
  if (found == json.end() || !found->is_number_unsigned()) {
    return failure(malformed(std::string(member) + " must be a whole number"));
  }
  return found->get<std::uint64_t>();
}

Result<std::string>
text(const Json& json, const char* member)
{
  const auto found = json.find(member);
  if (found == json.end() || !found->is_string()) {
    return failure(malformed(std::string(member) + " must be a string"));
  }
  return found->get<std::string>();
}

Result<ClaimEntry>
parseEntry(const Json& json)
{
  if (!json.is_object()) {
    return failure(malformed("an entry must be an object"));
  }
  const auto keyText = text(json, keyMember);
  if (!keyText) {
    return failure(keyText.error());
  }
  const auto key = ClaimKey::parse(SubmissionKey(*keyText));
  if (!key) {
    return failure(key.error());
  }
  ClaimEntry entry{ *key, std::nullopt };
  if (json.size() == 1) {
    return entry;
  }
  const auto supersedes = number(json, supersedesMember);
  if (!supersedes) {
    return failure(supersedes.error());
  }
  if (json.size() > 2 || *supersedes == 0) {
    return failure(malformed("an entry has a key and the offset superseded"));
  }
  entry.supersedes = *supersedes;
  return entry;
}

Result<std::vector<ClaimEntry>>
parseEntries(const Json& json)
{
  const auto found = json.find(entriesMember);
  if (found == json.end() || !found->is_array() || found->empty()) {
    return failure(malformed("entries must be a list that is not empty"));
  }
  std::vector<ClaimEntry> entries;
  entries.reserve(found->size());
  for (const Json& item : *found) {
    auto entry = parseEntry(item);
    if (!entry) {
      return failure(entry.error());
    }
    entries.push_back(*entry);
  }
  return entries;
}

Result<ClaimBatch::Fields>
parseHeader(const Json& json)
{
  const auto version = number(json, versionMember);
  if (!version || *version != formatVersion) {
    return failure(malformed("claims must be the format version 1"));
  }
  const auto owner = text(json, ownerMember);
  if (!owner) {
    return failure(owner.error());
  }
  const auto batchNumber = number(json, batchMember);
  if (!batchNumber) {
    return failure(batchNumber.error());
  }
  const auto readUpTo = number(json, readUpToMember);
  if (!readUpTo) {
    return failure(readUpTo.error());
  }
  if (owner->empty() || *batchNumber == 0) {
    return failure(malformed("owner and batch must not be empty or 0"));
  }
  return ClaimBatch::Fields{ Incarnation(*owner), *batchNumber, *readUpTo, {} };
}

Json
entryToJson(const ClaimEntry& entry)
{
  Json json = { { keyMember, entry.key.toSubmissionKey().value() } };
  if (entry.supersedes) {
    json[supersedesMember] = *entry.supersedes;
  }
  return json;
}

auto
tied(const ClaimBatch& batch)
{
  return std::make_tuple(batch.owner(),
                         batch.batchNumber(),
                         batch.readUpTo(),
                         std::cref(batch.entries()));
}

} // namespace

bool
operator==(const ClaimBatch& a, const ClaimBatch& b)
{
  return tied(a) == tied(b);
}

std::string
encode(const ClaimBatch& batch)
{
  Json entries = Json::array();
  for (const ClaimEntry& entry : batch.entries()) {
    entries.push_back(entryToJson(entry));
  }
  const Json json = {
    { versionMember, formatVersion },
    { ownerMember, batch.owner().value() },
    { batchMember, batch.batchNumber() },
    { readUpToMember, batch.readUpTo() },
    { entriesMember, std::move(entries) },
  };
  return writeJson(json);
}

Result<ClaimBatch>
parseClaimBatch(const std::string& text)
{
  const auto parsed = parseJson(text, "record", recordLimits);
  if (!parsed) {
    return failure(parsed.error());
  }
  const Json& json = *parsed;
  if (!json.is_object()) {
    return failure(malformed("the record is not a JSON object"));
  }
  auto fields = parseHeader(json);
  if (!fields) {
    return failure(fields.error());
  }
  auto entries = parseEntries(json);
  if (!entries) {
    return failure(entries.error());
  }
  if (json.size() != batchMemberCount) {
    return failure(malformed("the record has an unknown member"));
  }
  fields->entries = std::move(*entries);
  return ClaimBatch(std::move(*fields));
}

} // namespace cowslippin
