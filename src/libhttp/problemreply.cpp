#include "problemreply.h"

#include "libjson/json.h"

#include <nlohmann/json.hpp>

namespace cowslippin {

HttpReply
problemReply(const Problem& problem)
{
  return problemReply(problem, httpStatus(problem.kind()));
}

HttpReply
problemReply(const Problem& problem, int status)
{
  using nlohmann::json;
  json details = problemToJson(problem);
  details["status"] = status;
  HttpReply::Fields fields;
  fields.status = status;
  fields.contentType = problemContentType;
  fields.body = writeJson(details);
  fields.headers.emplace_back("Cowslippin-Ran",
                              std::string(toString(problem.ran())));
  if (problem.retryAfter()) {
    const auto seconds =
      std::chrono::ceil<std::chrono::seconds>(*problem.retryAfter());
    fields.headers.emplace_back("Retry-After", std::to_string(seconds.count()));
  }
  return HttpReply(std::move(fields));
}

} // namespace cowslippin
