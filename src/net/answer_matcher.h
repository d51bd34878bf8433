#pragma once

#include <string>

#include "net/http_types.h"

namespace sycamorestall {

// Tells to which request an answer that came over a connection belongs. Peers may answer a request
// twice, the second time where the answer to the next request is expected.
class AnswerMatcher {
 public:
  virtual ~AnswerMatcher() = default;

  // The id of the request that the answer belongs to; empty if the answer bears none.
  virtual std::string AnsweredRequest(const HttpAnswer& answer) const = 0;
  // Whether the answer can be believed to be the one to the request with the id.
  virtual bool IsAnswerTo(const HttpAnswer& answer, const std::string& id) const = 0;
};

}  // namespace sycamorestall
