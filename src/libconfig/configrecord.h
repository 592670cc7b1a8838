#pragma once

#include "configsnapshot.h"

#include <variant>

namespace cowslippin {

/// One record of the config stream: a template or an organisation's
/// parameters with the revision they replace, or a snapshot.
class ConfigRecord
{
public:
  using Content =
    std::variant<Template, OrganisationParameters, ConfigSnapshot>;

  /// The longest record id, in bytes.
  static constexpr std::size_t maxRecordIdLength = 64;

  /// `expectedRevision` is the revision that the content replaces, 0 when
  /// there must be none yet. A snapshot has no use for it.
  ConfigRecord(RecordId recordId, Offset expectedRevision, Content content)
    : m_recordId(std::move(recordId))
    , m_expectedRevision(expectedRevision)
    , m_content(std::move(content))
  {
  }

  const RecordId& recordId() const { return m_recordId; }
  Offset expectedRevision() const { return m_expectedRevision; }
  const Content& content() const { return m_content; }

  friend bool operator==(const ConfigRecord& a, const ConfigRecord& b)
  {
    return a.m_recordId == b.m_recordId &&
           a.m_expectedRevision == b.m_expectedRevision &&
           a.m_content == b.m_content;
  }
  friend bool operator!=(const ConfigRecord& a, const ConfigRecord& b)
  {
    return !(a == b);
  }

private:
  RecordId m_recordId;
  Offset m_expectedRevision;
  Content m_content;
};

/// The record as JSON text, which is how the stream holds it.
std::string
encode(const ConfigRecord& record);

/// Reads what `encode` wrote. Anything else is a problem.
Result<ConfigRecord>
parseConfigRecord(const std::string& text);

} // namespace cowslippin
