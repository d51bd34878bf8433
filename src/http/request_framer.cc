#include "http/request_framer.h"

#include <strings.h>

#include <charconv>
#include <optional>

namespace sycamorestall::http {

namespace {

constexpr std::size_t kMaxHeadBytes = 16 << 10;
constexpr std::string_view kHeadEnd = "\r\n\r\n";
constexpr std::string_view kLineEnd = "\r\n";

bool SameName(std::string_view a, std::string_view b) {
  return a.size() == b.size() && strncasecmp(a.data(), b.data(), a.size()) == 0;
}

std::string_view Trim(std::string_view text) {
  const std::size_t first = text.find_first_not_of(" \t");
  if (first == std::string_view::npos) {
    return {};
  }
  return text.substr(first, text.find_last_not_of(" \t") - first + 1);
}

std::optional<std::uint64_t> ParseLength(std::string_view text) {
  std::uint64_t length = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), length);
  const bool whole = error == std::errc{} && end == text.data() + text.size();
  return whole ? std::optional<std::uint64_t>{length} : std::nullopt;
}

}  // namespace

Framing FrameRequest(std::string_view bytes) {
  Framing framing;
  const std::size_t end = bytes.find(kHeadEnd);
  if (end == std::string_view::npos || end > kMaxHeadBytes) {
    if (bytes.size() > kMaxHeadBytes) {
      framing.verdict = Framing::Verdict::kHeadTooLarge;
    }
    return framing;
  }
  framing.head_bytes = end + kHeadEnd.size();
  framing.verdict = Framing::Verdict::kComplete;
  std::optional<std::uint64_t> length;
  std::string_view lines = bytes.substr(0, end + kLineEnd.size());
  lines.remove_prefix(lines.find(kLineEnd) + kLineEnd.size());
  while (!lines.empty()) {
    const std::size_t line_end = lines.find(kLineEnd);
    const std::string_view line = lines.substr(0, line_end);
    lines.remove_prefix(line_end + kLineEnd.size());
    const std::size_t colon = line.find(':');
    if (colon == std::string_view::npos) {
      continue;
    }
    const std::string_view name = line.substr(0, colon);
    const std::string_view value = Trim(line.substr(colon + 1));
    if (SameName(name, "transfer-encoding")) {
      framing.verdict = Framing::Verdict::kLengthRequired;
      return framing;
    }
    if (SameName(name, "expect")) {
      framing.expects_continue = SameName(value, "100-continue");
    }
    if (!SameName(name, "content-length")) {
      continue;
    }
    const std::optional<std::uint64_t> parsed = ParseLength(value);
    if (!parsed || (length && *length != *parsed)) {
      framing.verdict = Framing::Verdict::kBadLength;
      return framing;
    }
    length = parsed;
  }
  framing.body_bytes = length.value_or(0);
  return framing;
}

}  // namespace sycamorestall::http
