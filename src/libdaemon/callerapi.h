#pragma once

#include "configservice.h"
#include "libhttp/http.h"
#include "submissionservice.h"
#include "workersizes.h"

namespace cowslippin {

/// The HTTP interface for callers: requests, jobs and tickets. docs/API.md
/// describes it.
class CallerApi
{
public:
  /// No deadline may be later than `longestDeadline` from now: work must have
  /// ended while its key is still recognised.
  CallerApi(ConfigService& config,
            SubmissionService& submissions,
            const Published<WorkerSizes>& workers,
            Duration longestDeadline);

  void addRoutes(Router& router);

private:
  /// What the path of a submission names.
  struct Target
  {
    std::shared_ptr<const OrganisationParameters> organisation;
    std::shared_ptr<const Template> jobTemplate;
  };

  HttpReply submitRequest(const HttpRequest& request,
                          const PathParameters& path);
  HttpReply submitJob(const HttpRequest& request, const PathParameters& path);
  HttpReply jobStatus(const PathParameters& path);
  HttpReply jobAnswer(const HttpRequest& request, const PathParameters& path);
  HttpReply cancelJob(const PathParameters& path);
  HttpReply issueTickets(const HttpRequest& request);

  Result<SubmissionRequest> parseRequest(const HttpRequest& request,
                                         const PathParameters& path);
  Result<SubmissionRequest> parseJob(const HttpRequest& request,
                                     const PathParameters& path);
  Result<Target> findTarget(const PathParameters& path) const;
  Result<SubmissionRequest::Fields> commonFields(const HttpRequest& request,
                                                 const Target& target,
                                                 SubmissionKind kind) const;

  ConfigService& m_config;
  SubmissionService& m_submissions;
  const Published<WorkerSizes>& m_workers;
  const std::int64_t m_longestDeadlineMs;
};

} // namespace cowslippin
