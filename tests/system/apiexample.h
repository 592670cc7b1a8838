#pragma once

#include "support/httpcall.h"

#include <nlohmann/json.hpp>

#include <map>
#include <string>
#include <vector>

namespace cowslippin::testing {

/// A call that the page on the HTTP interface shows, and the answer that it
/// promises. All texts may hold placeholders.
struct ApiExample
{
  std::string method;
  std::string path;
  std::vector<HttpField> headers;
  std::string body;
  /// Further headers may come.
  HttpAnswer answer;
  /// What the endpoints do from here on; empty for no change.
  std::string endpointMode;
};

/// The examples of a page in its order: each block fenced as `http` that is a
/// request, with the next one, its answer. `<!-- endpoints: MODE -->` before a
/// block sets the mode. Throws std::runtime_error if the blocks do not pair.
std::vector<ApiExample>
parseApiExamples(const std::string& page);

/// The values that placeholders of earlier answers stand for.
class Placeholders
{
public:
  /// `text` with every `{name}` that is known replaced by its value.
  std::string fill(std::string text) const;

  /// Whether a value is the promised one. `"<any>"` matches every value, and
  /// so does `"<name>"`, which remembers it.
  bool match(const nlohmann::json& promised, const nlohmann::json& actual);

private:
  std::map<std::string, std::string> m_values;
};

} // namespace cowslippin::testing
