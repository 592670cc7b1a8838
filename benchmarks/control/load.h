#pragma once

#include "libhttp/http.h"

#include <condition_variable>
#include <functional>
#include <mutex>
#include <string>
#include <vector>

/// What calls of a load are like.
struct LoadSpec
{
  cowslippin::Address target;
  std::string path;
  std::string body;
  std::vector<cowslippin::HttpHeader> headers;
  int calls = 0;
  int inFlight = 0;
  /// The Idempotency-Key of the call with this number; none if empty.
  std::function<std::string(int call)> key;
};

/// Makes calls on kept connections, with so many in flight at all times.
class Load
{
public:
  /// Begins the calls.
  explicit Load(LoadSpec spec);

  /// Waits for all calls to end and returns how many were not answered 200.
  int finish();

private:
  cowslippin::Endpoint target() const;
  void begin();
  void ended(const cowslippin::CallEnd& end);

  const LoadSpec m_spec;
  std::mutex m_mutex;
  std::condition_variable m_changed;
  int m_begun = 0;
  int m_ended = 0;
  int m_failed = 0;
  cowslippin::EndpointClient m_client;
};
