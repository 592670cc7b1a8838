#pragma once

#include "acceptedrecord.h"
#include "organisationparameters.h"
#include "template.h"

#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <vector>

namespace cowslippin {

class ApplyResult;
class ConfigRecord;

/// The configuration after every record of the config stream up to `offset()`.
/// It is immutable: each record makes the next configuration, which shares
/// with this one whatever did not change. The same records give the same
/// configuration on every daemon, and `offset()` only rises.
///
/// The reader of the stream goes on at `offset() + 1` after every change,
/// whether it came by `apply`, `skippedTo` or `newest`. A record that is read
/// again is ignored; one that comes too early leaves a gap, which a snapshot
/// or a peer's configuration closes. Until then the old one stays in force.
class Configuration
{
public:
  using TemplateList = std::vector<std::shared_ptr<const Template>>;
  using OrganisationList =
    std::vector<std::shared_ptr<const OrganisationParameters>>;
  using AcceptedList = std::vector<std::shared_ptr<const AcceptedRecord>>;

  /// How many accepted records are remembered in order to recognise one that
  /// is appended again. An older one is answered as a conflict instead, and
  /// changes nothing either.
  static constexpr std::size_t maxRememberedRecords = 1024;

  /// The empty configuration at offset 0.
  Configuration();

  /// The offset of the last record taken in.
  Offset offset() const { return m_offset; }

  /// All templates in order of name.
  const TemplateList& templates() const { return *m_templates; }

  /// The parameters of all organisations in order of name.
  const OrganisationList& organisations() const { return *m_organisations; }

  /// The accepted records that are remembered, oldest first.
  const AcceptedList& acceptedRecords() const { return *m_accepted; }

  /// The template with this name, or null.
  std::shared_ptr<const Template> findTemplate(const TemplateName& name) const;

  /// The parameters of the organisation with this name, or null.
  std::shared_ptr<const OrganisationParameters> findOrganisation(
    const OrganisationName& name) const;

  /// The revision of an accepted record that is still remembered.
  std::optional<Offset> revisionOf(const RecordId& recordId) const;

  /// Takes in the record that was read at `at`.
  ApplyResult apply(Offset at, const ConfigRecord& record) const;

  /// Takes in the encoded record that was read at `at`. One that cannot be
  /// parsed is ignored, and the result carries the problem.
  ApplyResult applyText(Offset at, const std::string& text) const;

  /// The same configuration, knowing that the stream keeps nothing before
  /// `first` any more.
  Configuration skippedTo(Offset first) const;

  /// Whether records are missing that the stream was found not to hold any
  /// more. Reading on does not help then: it takes a snapshot or a peer.
  bool needsSnapshot() const { return m_firstReadable > m_offset + 1; }

  /// This configuration, or `other` when that one has the higher offset.
  Configuration newest(const Configuration& other) const;

  /// What operators are shown: `offset`, `templates` and `organisations`.
  nlohmann::json published() const;

  /// Everything, as a snapshot and a transfer to a peer carry it: what
  /// `published` gives and the remembered records.
  nlohmann::json toJson() const;

  /// Reads what `toJson` wrote.
  static Result<Configuration> fromJson(const nlohmann::json& json);

  /// Compares what the records made of the configuration. What is known of
  /// the stream's retention is left out.
  friend bool operator==(const Configuration& a, const Configuration& b);
  friend bool operator!=(const Configuration& a, const Configuration& b)
  {
    return !(a == b);
  }

private:
  Configuration movedTo(Offset at) const;
  Configuration with(Template changed) const;
  Configuration with(OrganisationParameters changed) const;
  Configuration remembering(const RecordId& recordId, Offset revision) const;
  ApplyResult fold(Offset at, const ConfigRecord& record) const;
  ApplyResult foldSnapshot(Offset at, const Configuration& snapshot) const;
  ApplyResult applyEarly(Offset at, const ConfigRecord& record) const;
  template<class Entry>
  ApplyResult foldEntry(Offset at,
                        const ConfigRecord& record,
                        const Entry& entry,
                        Offset current) const;

  Offset m_offset = 0;
  Offset m_firstReadable = 0;
  std::shared_ptr<const TemplateList> m_templates;
  std::shared_ptr<const OrganisationList> m_organisations;
  std::shared_ptr<const AcceptedList> m_accepted;
};

} // namespace cowslippin
