#pragma once

#include <nlohmann/json.hpp>

#include <cstddef>

namespace cowslippin {

/// Walks over encoded JSON or CBOR and stops at the first value nested deeper
/// than allowed. nlohmann's parser recurses, so that without this check a
/// message of nothing but opening brackets would exhaust the stack.
class DepthCheck : public nlohmann::json_sax<nlohmann::json>
{
public:
  explicit DepthCheck(std::size_t maxDepth)
    : m_maxDepth(maxDepth)
  {
  }

  bool null() override { return true; }
  bool boolean(bool) override { return true; }
  bool number_integer(number_integer_t) override { return true; }
  bool number_unsigned(number_unsigned_t) override { return true; }
  bool number_float(number_float_t, const string_t&) override { return true; }
  bool string(string_t&) override { return true; }
  bool binary(binary_t&) override { return true; }
  bool key(string_t&) override { return true; }
  bool start_object(std::size_t) override { return enter(); }
  bool end_object() override { return leave(); }
  bool start_array(std::size_t) override { return enter(); }
  bool end_array() override { return leave(); }
  bool parse_error(std::size_t,
                   const std::string&,
                   const nlohmann::detail::exception&) override
  {
    return false;
  }

private:
  bool enter() { return ++m_depth <= m_maxDepth; }

  bool leave()
  {
    --m_depth;
    return true;
  }

  std::size_t m_maxDepth;
  std::size_t m_depth = 0;
};

} // namespace cowslippin
