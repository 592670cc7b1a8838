#include "submissionrequest.h"

#include <xxhash.h>

#include <array>
#include <cstdio>

namespace cowslippin {

namespace {

/// Keeps two neighbouring fields from running into each other.
constexpr char fieldSeparator = '\0';

} // namespace

SubmissionRequest
SubmissionRequest::withoutPayloads() const
{
  SubmissionRequest copy = *this;
  copy.m_fields.payloads.clear();
  copy.m_fields.payloads.shrink_to_fit();
  return copy;
}

SubmissionKey
claimedKey(const OrganisationName& organisation,
           const std::string& idempotencyKey)
{
  const std::string text =
    organisation.value() + fieldSeparator + idempotencyKey;
  const XXH128_hash_t hash = XXH3_128bits(text.data(), text.size());
  std::array<char, 33> digits{};
  std::snprintf(digits.data(),
                digits.size(),
                "%016llx%016llx",
                static_cast<unsigned long long>(hash.high64),
                static_cast<unsigned long long>(hash.low64));
  return SubmissionKey(digits.data());
}

std::uint64_t
fingerprintOf(const OrganisationName& organisation,
              const TemplateName& templateName,
              SubmissionKind kind,
              const std::string& body)
{
  const std::string scope = organisation.value() + fieldSeparator +
                            templateName.value() + fieldSeparator +
                            (kind == SubmissionKind::Job ? "job" : "request");
  const std::uint64_t seed = XXH3_64bits(scope.data(), scope.size());
  return XXH3_64bits_withSeed(body.data(), body.size(), seed);
}

} // namespace cowslippin
