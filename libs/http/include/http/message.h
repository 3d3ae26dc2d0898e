#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace coltsfoot::http {

/// Orders header names case-insensitively.
struct header_less {
  using is_transparent = void;
  bool operator()(std::string_view left, std::string_view right) const noexcept;
};

using header_map = std::map<std::string, std::string, header_less>;
using query_map = std::map<std::string, std::string, std::less<>>;

/// A request as a server received it.
struct request {
  std::string method;  ///< upper case, for example "GET"
  std::string path;    ///< decoded path without the query
  query_map query;     ///< decoded query parameters
  header_map headers;
  std::string body;

  bool operator==(const request&) const = default;
  /// @return the value of a header, or nothing.
  std::optional<std::string> FindHeader(std::string_view name) const;
  /// @return the value of a query parameter, or nothing.
  std::optional<std::string> FindParameter(std::string_view name) const;
};

/// An answer to a request.
struct response {
  int status = 200;
  header_map headers;
  std::string body;

  bool operator==(const response&) const = default;
  /// @return the value of a header, or nothing.
  std::optional<std::string> FindHeader(std::string_view name) const;
};

/// @return an answer with a JSON body.
response JsonResponse(int status, std::string body);

}  // namespace coltsfoot::http
