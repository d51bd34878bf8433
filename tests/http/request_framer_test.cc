#include "http/request_framer.h"

#include <doctest/doctest.h>

#include <string>

using sycamorestall::http::FrameRequest;
using sycamorestall::http::Framing;

TEST_CASE("requests are framed by their head") {
  struct Row {
    const char* name;
    std::string bytes;
    Framing::Verdict verdict;
    std::uint64_t body_bytes;
  };
  const std::string line = "POST /a HTTP/1.1\r\n";
  const Row rows[] = {
      {"half a head", line + "Host: a\r\n", Framing::Verdict::kIncomplete, 0},
      {"no length", line + "\r\n", Framing::Verdict::kComplete, 0},
      {"a length", line + "Content-Length: 12\r\n\r\n", Framing::Verdict::kComplete, 12},
      {"a length in other case", line + "content-LENGTH:  7 \r\n\r\n", Framing::Verdict::kComplete,
       7},
      {"the same length twice", line + "Content-Length: 5\r\nContent-Length: 5\r\n\r\n",
       Framing::Verdict::kComplete, 5},
      {"two lengths", line + "Content-Length: 5\r\nContent-Length: 6\r\n\r\n",
       Framing::Verdict::kBadLength, 0},
      {"a negative length", line + "Content-Length: -1\r\n\r\n", Framing::Verdict::kBadLength, 0},
      {"no number", line + "Content-Length: ten\r\n\r\n", Framing::Verdict::kBadLength, 0},
      {"more than 64 bits", line + "Content-Length: 99999999999999999999\r\n\r\n",
       Framing::Verdict::kBadLength, 0},
      {"chunks", line + "Transfer-Encoding: chunked\r\n\r\n", Framing::Verdict::kLengthRequired, 0},
      {"an endless head", line + std::string(20000, 'a'), Framing::Verdict::kHeadTooLarge, 0},
  };
  for (const Row& row : rows) {
    CAPTURE(std::string(row.name));
    const Framing framing = FrameRequest(row.bytes);
    CHECK(framing.verdict == row.verdict);
    CHECK(framing.body_bytes == row.body_bytes);
  }
}
