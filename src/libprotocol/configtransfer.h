#pragma once

#include "libcore/ids.h"

#include <string>
#include <utility>

namespace cowslippin {

/// A whole configuration as the sender has it in force.
class ConfigTransfer
{
public:
  struct Fields
  {
    /// The log position up to which the configuration is folded.
    Offset offset = 0;
    /// The configuration as JSON text.
    std::string body;
  };

  ConfigTransfer() = default;
  explicit ConfigTransfer(Fields fields)
    : m_fields(std::move(fields))
  {
  }

  Offset offset() const { return m_fields.offset; }
  const std::string& body() const { return m_fields.body; }

  friend bool operator==(const ConfigTransfer& a, const ConfigTransfer& b)
  {
    return a.m_fields.offset == b.m_fields.offset &&
           a.m_fields.body == b.m_fields.body;
  }
  friend bool operator!=(const ConfigTransfer& a, const ConfigTransfer& b)
  {
    return !(a == b);
  }

private:
  Fields m_fields;
};

} // namespace cowslippin
