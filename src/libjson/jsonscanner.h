#pragma once

#include "jsonvisitor.h"

#include <cstddef>
#include <string>
#include <string_view>

namespace cowslippin {

/// Reads a JSON document and passes its parts to a visitor. Short strings and
/// whole numbers, of which frequent documents consist, are read here; any other
/// string or number is read by nlohmann's library. The depth of the document
/// must have been checked, as arrays and objects are read recursively.
class JsonScanner
{
public:
  JsonScanner(std::string_view text, JsonVisitor& visitor);

  /// False if the text isn't a JSON document. The visitor may then have
  /// received parts of it.
  bool scan();

private:
  bool scanValue();
  bool scanObject();
  bool scanMember();
  bool scanArray();
  bool scanString();
  bool scanNumber();
  bool scanLiteral(std::string_view literal, const nlohmann::json& value);
  bool readString();
  bool readByLibrary(std::string_view token, nlohmann::json& value) const;
  void skipSpace();
  bool skip(char character);
  bool isAt(char character) const
  {
    return m_at < m_text.size() && m_text[m_at] == character;
  }

  const std::string_view m_text;
  JsonVisitor& m_visitor;
  std::size_t m_at = 0;
  /// The string that was read last.
  std::string m_string;
};

} // namespace cowslippin
