#include "net/answer_head.h"

#include <doctest/doctest.h>

#include <string>

using namespace sycamorestall;  // NOLINT

TEST_CASE("a continued line is found in the head only") {
  struct Row {
    std::string name;
    std::string bytes;
    bool continued;
  };
  const Row rows[] = {
      {"nothing", "", false},
      {"fields", "A: b\r\nC: d\r\n\r\n", false},
      {"blank", "A: b\r\n C: d\r\n\r\n", true},
      {"tab", "A: b\r\n\tC: d\r\n\r\n", true},
      {"after the status line", "HTTP/1.1 200 OK\r\n A: b\r\n\r\n", true},
      {"last line", "A: b\r\nC: d\r\n e\r\n\r\n", true},
      {"unfinished head", "A: b\r\n C", true},
      {"next line not begun", "A: b\r\n", false},
      {"blank in a line", "A: b c\r\n\r\n", false},
      {"in the body", "A: b\r\n\r\nbody\r\n more", false},
      {"at the beginning of the body", "A: b\r\n\r\n body", false},
      {"behind the end of the head", "\r\nbody\r\n more", false},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    CHECK(HasContinuedLine(row.bytes) == row.continued);
  }
}
