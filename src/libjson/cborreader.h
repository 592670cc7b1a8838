#pragma once

#include "jsonvalue.h"
#include "parse.h"

#include "libcore/result.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace cowslippin {

/// Reads a CBOR document of lists, value by value from its start, without
/// building a tree of values. It accepts the documents that `parseCbor` accepts
/// and the values that the functions of jsonvalue.h accept, which throw
/// InvalidJsonValue in the same cases and with the same texts.
class CborReader
{
public:
  /// Checks the structure of the document as `parseCbor` does. `bytes` must
  /// outlive the reader.
  static Result<CborReader> open(std::string_view bytes,
                                 const char* field,
                                 const ParseLimits& limits);

  /// Enters the list that is the next value; returns the number of its
  /// elements, which is at most `maxSize`.
  std::size_t beginList(std::size_t maxSize);
  /// Enters a list of any size, whose elements are members of a fixed meaning.
  void beginMembers();
  /// Leaves a list, and skips the elements of it that weren't read: a later
  /// version may add some.
  void end();

  /// Skips the next value if it is null; returns whether it was.
  bool skipNull();

  /// The next value, as the functions of jsonvalue.h read it.
  std::string text(std::size_t maxBytes);
  std::string binary();
  bool flag();
  double number(double least, double most);
  template<class T>
  T integer(T least = std::numeric_limits<T>::min(),
            T most = std::numeric_limits<T>::max())
  {
    return integerFrom<T>(scalar(), least, most);
  }

  /// Throws InvalidJsonValue unless the next value exists. Skips the value.
  void skip();

private:
  /// A list whose elements are being read.
  struct List
  {
    std::size_t start = 0;
    std::size_t size = 0;
    std::size_t read = 0;
  };
  /// The first bytes of an item: its type and its argument, which is the value
  /// or the size.
  struct Head
  {
    unsigned type = 0;
    unsigned info = 0;
    std::uint64_t argument = 0;
    std::size_t contentAt = 0;
  };

  explicit CborReader(std::string_view bytes);

  Head headAt(std::size_t at) const;
  std::size_t endOf(std::size_t at) const;
  nlohmann::json valueAt(std::size_t at) const;
  void takeElement();
  nlohmann::json scalar();

  std::string_view m_bytes;
  std::size_t m_at = 0;
  /// The lists that contain the next value, the innermost last.
  std::vector<List> m_lists;
};

} // namespace cowslippin
