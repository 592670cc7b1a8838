#pragma once

#include "libcore/core.h"

#include <gtest/gtest.h>

#include <string>

namespace cowslippin::testing {

/// Depth of lists in lists in the largest record of the store.
constexpr std::size_t deepest = 131'000;

inline std::string
nestedLists(std::size_t depth)
{
  return std::string(depth, '[') + std::string(depth, ']');
}

/// `text` with the first occurrence of a part replaced.
inline std::string
replaced(std::string text, const std::string& from, const std::string& to)
{
  return text.replace(text.find(from), from.size(), to);
}

/// A problem must be short and in UTF-8.
template<class T>
void
expectShortProblem(const Result<T>& result)
{
  if (result)
    return;
  EXPECT_FALSE(result.error().detail().empty());
  EXPECT_LE(result.error().detail().size(), Problem::maxDetailBytes);
  EXPECT_TRUE(isUtf8(result.error().detail()));
}

} // namespace cowslippin::testing
