#include "configuration.h"

#include "applyresult.h"
#include "configrecord.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

namespace cowslippin {

namespace {

template<class Entry, class Name>
auto
lowerBound(const std::vector<std::shared_ptr<const Entry>>& list,
           const Name& name)
{
  return std::lower_bound(
    list.begin(),
    list.end(),
    name,
    [](const std::shared_ptr<const Entry>& entry, const Name& wanted) {
      return entry->name() < wanted;
    });
}

template<class Entry, class Name>
std::shared_ptr<const Entry>
findEntry(const std::vector<std::shared_ptr<const Entry>>& list,
          const Name& name)
{
  const auto found = lowerBound(list, name);
  const bool isThere = found != list.end() && (*found)->name() == name;
  return isThere ? *found : nullptr;
}

/// A copy of the list in which `entry` takes the place of its namesake.
template<class Entry>
std::shared_ptr<const std::vector<std::shared_ptr<const Entry>>>
replaced(const std::vector<std::shared_ptr<const Entry>>& list, Entry entry)
{
  auto copy = std::make_shared<std::vector<std::shared_ptr<const Entry>>>(list);
  const auto at =
    copy->begin() + (lowerBound(list, entry.name()) - list.begin());
  const bool isThere = at != copy->end() && (*at)->name() == entry.name();
  auto shared = std::make_shared<const Entry>(std::move(entry));
  if (isThere) {
    *at = std::move(shared);
  } else {
    copy->insert(at, std::move(shared));
  }
  return copy;
}

template<class Entry>
Offset
revisionOfEntry(const std::shared_ptr<const Entry>& entry)
{
  return entry ? entry->revision() : 0;
}

template<class Entry>
bool
equalLists(const std::vector<std::shared_ptr<const Entry>>& a,
           const std::vector<std::shared_ptr<const Entry>>& b)
{
  return std::equal(
    a.begin(), a.end(), b.begin(), b.end(), [](const auto& x, const auto& y) {
      return x == y || *x == *y;
    });
}

} // namespace

Configuration::Configuration()
  : m_templates(std::make_shared<const TemplateList>())
  , m_organisations(std::make_shared<const OrganisationList>())
  , m_accepted(std::make_shared<const AcceptedList>())
{
}

std::shared_ptr<const Template>
Configuration::findTemplate(const TemplateName& name) const
{
  return findEntry(*m_templates, name);
}

std::shared_ptr<const OrganisationParameters>
Configuration::findOrganisation(const OrganisationName& name) const
{
  return findEntry(*m_organisations, name);
}

std::optional<Offset>
Configuration::revisionOf(const RecordId& recordId) const
{
  const auto found = std::find_if(
    m_accepted->rbegin(), m_accepted->rend(), [&](const auto& accepted) {
      return accepted->recordId() == recordId;
    });
  if (found == m_accepted->rend()) {
    return std::nullopt;
  }
  return (*found)->revision();
}

ApplyResult
Configuration::apply(Offset at, const ConfigRecord& record) const
{
  if (at <= m_offset) {
    return ApplyResult(*this, ApplyOutcome::Ignored);
  }
  return at == m_offset + 1 ? fold(at, record) : applyEarly(at, record);
}

ApplyResult
Configuration::applyText(Offset at, const std::string& text) const
{
  const Result<ConfigRecord> record = parseConfigRecord(text);
  if (record) {
    return apply(at, *record);
  }
  const bool isNext = at == m_offset + 1;
  return ApplyResult(isNext ? movedTo(at) : skippedTo(at),
                     ApplyOutcome::Ignored)
    .withProblem(record.error());
}

Configuration
Configuration::skippedTo(Offset first) const
{
  Configuration next = *this;
  next.m_firstReadable = std::max(m_firstReadable, first);
  return next;
}

Configuration
Configuration::newest(const Configuration& other) const
{
  const Configuration& newer = other.m_offset > m_offset ? other : *this;
  return newer.skippedTo(m_firstReadable);
}

bool
operator==(const Configuration& a, const Configuration& b)
{
  return a.m_offset == b.m_offset &&
         equalLists(*a.m_templates, *b.m_templates) &&
         equalLists(*a.m_organisations, *b.m_organisations) &&
         equalLists(*a.m_accepted, *b.m_accepted);
}

Configuration
Configuration::movedTo(Offset at) const
{
  Configuration next = *this;
  next.m_offset = at;
  return next;
}

Configuration
Configuration::with(Template changed) const
{
  Configuration next = *this;
  next.m_templates = replaced(*m_templates, std::move(changed));
  return next;
}

Configuration
Configuration::with(OrganisationParameters changed) const
{
  Configuration next = *this;
  next.m_organisations = replaced(*m_organisations, std::move(changed));
  return next;
}

Configuration
Configuration::remembering(const RecordId& recordId, Offset revision) const
{
  const bool isFull = m_accepted->size() >= maxRememberedRecords;
  auto accepted = std::make_shared<AcceptedList>(
    m_accepted->begin() + (isFull ? 1 : 0), m_accepted->end());
  accepted->push_back(
    std::make_shared<const AcceptedRecord>(recordId, revision));
  Configuration next = *this;
  next.m_accepted = std::move(accepted);
  return next;
}

/// Takes in the record that comes right after the last one.
ApplyResult
Configuration::fold(Offset at, const ConfigRecord& record) const
{
  if (const auto* changed = std::get_if<Template>(&record.content())) {
    return foldEntry(
      at, record, *changed, revisionOfEntry(findTemplate(changed->name())));
  }
  if (const auto* changed =
        std::get_if<OrganisationParameters>(&record.content())) {
    return foldEntry(
      at, record, *changed, revisionOfEntry(findOrganisation(changed->name())));
  }
  const auto& snapshot = std::get<ConfigSnapshot>(record.content());
  return foldSnapshot(at, snapshot.configuration());
}

template<class Entry>
ApplyResult
Configuration::foldEntry(Offset at,
                         const ConfigRecord& record,
                         const Entry& entry,
                         Offset current) const
{
  if (const auto revision = revisionOf(record.recordId())) {
    return ApplyResult(movedTo(at), ApplyOutcome::Duplicate, *revision);
  }
  if (record.expectedRevision() != current) {
    return ApplyResult(movedTo(at), ApplyOutcome::Conflict, current);
  }
  return ApplyResult(
    movedTo(at).with(entry.withRevision(at)).remembering(record.recordId(), at),
    ApplyOutcome::Accepted,
    at);
}

/// Nothing is taken from a snapshot of what is known already. It is only
/// checked, because other daemons may depend on it.
ApplyResult
Configuration::foldSnapshot(Offset at, const Configuration& snapshot) const
{
  ApplyResult result(movedTo(at), ApplyOutcome::Ignored);
  if (snapshot.offset() != m_offset || snapshot == *this) {
    return result;
  }
  return result.withProblem(
    Problem(ProblemKind::InvalidField,
            RunState::NotRun,
            "The snapshot at offset " + std::to_string(at) +
              " differs from what the records before it made"));
}

/// Takes in a record that comes after a gap.
ApplyResult
Configuration::applyEarly(Offset at, const ConfigRecord& record) const
{
  const auto* snapshot = std::get_if<ConfigSnapshot>(&record.content());
  if (!snapshot || !snapshot->isValidAt(at)) {
    return ApplyResult(skippedTo(at), ApplyOutcome::Ignored);
  }
  return ApplyResult(
    snapshot->configuration().movedTo(at).skippedTo(m_firstReadable),
    ApplyOutcome::Adopted);
}

} // namespace cowslippin
