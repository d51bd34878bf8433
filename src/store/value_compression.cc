#include "store/value_compression.h"

#include <zstd.h>

#include <algorithm>
#include <bit>
#include <memory>

namespace sycamorestall {

namespace {

constexpr int kCompressionLevel = 3;
constexpr int kMinWindowLog = 10;
constexpr int kMaxWindowLog = 26;

struct FreeContext {
  void operator()(ZSTD_CCtx* context) const { ZSTD_freeCCtx(context); }
  void operator()(ZSTD_DCtx* context) const { ZSTD_freeDCtx(context); }
};

// The window that reaches back over the whole value and its earlier version.
int WindowLog(std::size_t bytes) {
  return std::clamp(static_cast<int>(std::bit_width(bytes)), kMinWindowLog, kMaxWindowLog);
}

}  // namespace

std::optional<std::string> CompressValue(std::string_view value, std::string_view earlier) {
  const std::unique_ptr<ZSTD_CCtx, FreeContext> context{ZSTD_createCCtx()};
  ZSTD_CCtx_setParameter(context.get(), ZSTD_c_compressionLevel, kCompressionLevel);
  ZSTD_CCtx_setParameter(context.get(), ZSTD_c_windowLog, WindowLog(value.size() + earlier.size()));
  ZSTD_CCtx_setParameter(context.get(), ZSTD_c_enableLongDistanceMatching, 1);
  ZSTD_CCtx_refPrefix(context.get(), earlier.data(), earlier.size());
  std::string bytes(ZSTD_compressBound(value.size()), '\0');
  const std::size_t size =
      ZSTD_compress2(context.get(), bytes.data(), bytes.size(), value.data(), value.size());
  if (ZSTD_isError(size) != 0) {
    return std::nullopt;
  }
  bytes.resize(size);
  return bytes;
}

std::optional<std::string> DecompressValue(std::string_view bytes, std::size_t size,
                                           std::string_view earlier) {
  const std::unique_ptr<ZSTD_DCtx, FreeContext> context{ZSTD_createDCtx()};
  ZSTD_DCtx_refPrefix(context.get(), earlier.data(), earlier.size());
  std::string value(size, '\0');
  const std::size_t restored =
      ZSTD_decompressDCtx(context.get(), value.data(), value.size(), bytes.data(), bytes.size());
  if (ZSTD_isError(restored) != 0 || restored != size) {
    return std::nullopt;
  }
  return value;
}

}  // namespace sycamorestall
