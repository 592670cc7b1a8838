#pragma once

#include "httpreply.h"
#include "httprequest.h"
#include "pathparameters.h"

#include <functional>
#include <string>
#include <vector>

namespace cowslippin {

/// Finds the handler for a request by its method and path. Routes are added
/// at start-up; after that any number of threads may call `reply`.
class Router
{
public:
  using Handler =
    std::function<HttpReply(const HttpRequest&, const PathParameters&)>;

  /// Adds a route. A segment of `pattern` in braces, as in `/v1/jobs/{id}`,
  /// matches any one segment that is not empty, and its value is given to the
  /// handler. The route that was added first wins.
  void add(std::string method, std::string_view pattern, Handler handler);

  /// The reply of the handler whose route matches. An `unknown-path` problem
  /// when no pattern matches, a `wrong-method` problem with an `Allow` header
  /// when one does but not for this method.
  HttpReply reply(const HttpRequest& request) const;

private:
  struct Route
  {
    std::string method;
    std::vector<std::string> segments;
    Handler handler;
  };

  std::vector<Route> m_routes;
};

} // namespace cowslippin
