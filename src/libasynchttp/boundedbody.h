#pragma once

#include <boost/beast/http/error.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/optional.hpp>

#include <algorithm>
#include <cstdint>
#include <string>

namespace cowslippin {

/// A body type of Boost.Beast whose memory grows with the bytes that have
/// arrived, not with those that the header announces, and never beyond a limit.
struct BoundedBody
{
  struct Value
  {
    std::string bytes;
    std::size_t maxBytes = 0;
  };

  class Reader
  {
  public:
    template<bool isRequest, class Fields>
    Reader(boost::beast::http::header<isRequest, Fields>&, Value& body)
      : m_body(body)
    {
    }

    static void init(const boost::optional<std::uint64_t>&,
                     boost::system::error_code& error)
    {
      error = {};
    }

    /// Fails with `body_limit` if the body would be longer than allowed.
    template<class ConstBufferSequence>
    std::size_t put(const ConstBufferSequence& buffers,
                    boost::system::error_code& error)
    {
      error = {};
      std::size_t count = 0;
      for (auto next = boost::asio::buffer_sequence_begin(buffers);
           next != boost::asio::buffer_sequence_end(buffers);
           ++next) {
        const boost::asio::const_buffer part = *next;
        if (part.size() > m_body.maxBytes - m_body.bytes.size()) {
          error = boost::beast::http::error::body_limit;
          return count;
        }
        append(part);
        count += part.size();
      }
      return count;
    }

    static void finish(boost::system::error_code& error) { error = {}; }

  private:
    void append(const boost::asio::const_buffer& part)
    {
      std::string& bytes = m_body.bytes;
      const std::size_t needed = bytes.size() + part.size();
      if (needed > bytes.capacity())
        bytes.reserve(
          std::min(m_body.maxBytes, std::max(2 * bytes.capacity(), needed)));
      bytes.append(static_cast<const char*>(part.data()), part.size());
    }

    Value& m_body;
  };

  using value_type = Value;
  using reader = Reader;
};

} // namespace cowslippin
