#include "router/request_reporter.h"

#include "http/status.h"

namespace sycamorestall {

std::string FormatDecisionInputs(const EndpointState& endpoint, double expected_latency_s,
                                 Duration time_left) {
  const Duration expected =
      std::chrono::duration_cast<Duration>(std::chrono::duration<double>(expected_latency_s));
  return " considered=" + endpoint.entry.id.value() +
         " load=" + std::to_string(endpoint.in_flight) + "+" +
         std::to_string(endpoint.peers_in_flight) + "/" + std::to_string(endpoint.entry.slots) +
         " expected_ms=" + FormatMilliseconds(expected) +
         " left_ms=" + FormatMilliseconds(time_left);
}

void RequestReporter::ReportFailedAttempt(const RequestSummary& request, const CallResult& result,
                                          const std::string& reason, Instant now) const {
  if (!log_.IsEnabled(LogLevel::kInfo)) {
    return;
  }
  std::string line =
      "attempt failed id=" + request.id + " attempt=" + std::to_string(request.send_count) +
      " endpoint=" + request.endpoint.value() + " connection=" + std::to_string(result.connection) +
      " earlier_answers=" + std::to_string(result.earlier_answers) +
      " ms=" + FormatMilliseconds(now - request.sent_at) + " reason=\"" + reason + "\"";
  if (result.outcome == CallOutcome::kAnswerRejected) {
    line += " status=" + std::to_string(result.answer.result_int()) +
            " answered_id=" + format_.AnsweredRequest(result.answer);
  }
  log_.Info(line);
}

void RequestReporter::CountOutcome(const RequestSummary& request, unsigned status,
                                   const std::string& reason) {
  const char* kind = request.route == nullptr ? "none" : ToString(request.route->kind);
  metrics_.IncrementCounter("requests_total{kind=\"" + std::string{kind} + "\",status=\"" +
                            std::to_string(status) + "\"}");
  if (status < http::kOk || status >= http::kBadRequest) {
    // The text after the colon is specific to one request and would make too many labels.
    metrics_.IncrementCounter("request_failures_total{cause=\"" +
                              reason.substr(0, reason.find(':')) + "\"}");
  }
}

void RequestReporter::ReportOutcome(const RequestSummary& request, unsigned status,
                                    const std::string& reason, Instant now) {
  const bool run = status >= http::kOk && status < http::kBadRequest;
  const Outcome failure = request.may_have_run ? Outcome::kUnknown : Outcome::kNotRun;
  metrics_.RecordLatency(
      {request.route == nullptr ? "none" : request.route->name, run ? Outcome::kRun : failure},
      now - request.arrived_at);
  CountOutcome(request, status, reason);
  if (!log_.IsEnabled(LogLevel::kInfo)) {
    return;
  }
  std::string line =
      "id=" + request.id + " status=" + std::to_string(status) +
      " service=" + request.service.value() + " endpoint=" + request.endpoint.value() +
      " arrivals=" + std::to_string(request.arrival_count) +
      " connection=" + std::to_string(request.connection) +
      " ms=" + FormatMilliseconds(now - request.arrived_at) + " reason=\"" + reason + "\"";
  if (request.key) {
    line += " key=" + std::to_string(*request.key);
  }
  if (request.config_version) {
    line += " config=" + std::to_string(*request.config_version);
  }
  log_.Info(line + request.decision_inputs);
}

}  // namespace sycamorestall
