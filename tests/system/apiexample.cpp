#include "apiexample.h"

#include <regex>
#include <sstream>
#include <stdexcept>

namespace cowslippin::testing {

namespace {

/// An optional mode, the first line, the headers and the body of a block.
const char blockPattern[] = "(?:<!-- endpoints: (\\w+) -->\n\n)?"
                            "```http\n([^\n]+)\n((?:[^\n`]+\n)*)\n?([^`]*)```";
const char answerBegin[] = "HTTP/1.1 ";

std::vector<HttpField>
parseHeaders(const std::string& text)
{
  std::vector<HttpField> headers;
  std::istringstream lines(text);
  for (std::string line; std::getline(lines, line);) {
    const std::size_t colon = line.find(": ");
    headers.push_back({ line.substr(0, colon), line.substr(colon + 2) });
  }
  return headers;
}

} // namespace

std::vector<ApiExample>
parseApiExamples(const std::string& page)
{
  const std::regex pattern(blockPattern);
  std::vector<ApiExample> examples;
  bool isAnswerNext = false;
  for (std::sregex_iterator block(page.begin(), page.end(), pattern), end;
       block != end;
       ++block) {
    const std::string firstLine = (*block)[2];
    if ((firstLine.rfind(answerBegin, 0) == 0) != isAnswerNext) {
      throw std::runtime_error("out of place: " + firstLine);
    }
    std::istringstream words(firstLine);
    if (isAnswerNext) {
      HttpAnswer& answer = examples.back().answer;
      words >> answer.body >> answer.status;
      answer.headers = parseHeaders((*block)[3]);
      answer.body = (*block)[4];
    } else {
      ApiExample& example = examples.emplace_back();
      words >> example.method >> example.path;
      example.headers = parseHeaders((*block)[3]);
      example.body = (*block)[4];
      example.endpointMode = (*block)[1];
    }
    isAnswerNext = !isAnswerNext;
  }
  if (isAnswerNext || examples.empty()) {
    throw std::runtime_error("the last request has no answer");
  }
  return examples;
}

std::string
Placeholders::fill(std::string text) const
{
  for (const auto& [name, value] : m_values) {
    const std::string placeholder = "{" + name + "}";
    for (std::size_t at = 0; (at = text.find(placeholder, at)) < text.size();
         at += value.size()) {
      text.replace(at, placeholder.size(), value);
    }
  }
  return text;
}

bool
Placeholders::match(const nlohmann::json& promised,
                    const nlohmann::json& actual)
{
  if (promised.is_string()) {
    const std::string text = fill(promised.get<std::string>());
    if (text.size() < 3 || text.front() != '<' || text.back() != '>') {
      return actual == text;
    }
    m_values[text.substr(1, text.size() - 2)] =
      actual.is_string() ? actual.get<std::string>() : actual.dump();
    return true;
  }
  if (!promised.is_structured()) {
    return promised == actual;
  }
  bool matches =
    promised.type() == actual.type() && promised.size() == actual.size();
  for (const auto& [key, value] : promised.items()) {
    const auto member = nlohmann::json::json_pointer() / key;
    matches =
      matches && actual.contains(member) && match(value, actual.at(member));
  }
  return matches;
}

} // namespace cowslippin::testing
