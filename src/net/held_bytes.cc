#include "net/held_bytes.h"

#include <utility>

namespace sycamorestall {

namespace {

// What a field takes besides its name and value: the links of the containers and the allocation.
constexpr std::size_t kFieldOverheadBytes = 96;
// The colon, the space and the line end.
constexpr std::size_t kFieldDelimiterBytes = 4;

std::size_t SumOfFields(const boost::beast::http::fields& fields, std::size_t bytes_per_field) {
  std::size_t sum = 0;
  for (const auto& field : fields) {
    sum += field.name_string().size() + field.value().size() + bytes_per_field;
  }
  return sum;
}

// The reservation ends after the bytes are freed.
struct HeldBytes {
  MemoryReservation reservation;
  std::string bytes;
};

}  // namespace

SharedBytes HoldBytes(std::string bytes, const std::shared_ptr<MemoryAccount>& account) {
  const auto held = std::make_shared<HeldBytes>();
  held->reservation = MemoryReservation{account};
  held->reservation.Resize(bytes.size());
  held->bytes = std::move(bytes);
  return {held, &held->bytes};
}

std::size_t MemoryOfFields(const boost::beast::http::fields& fields) {
  return SumOfFields(fields, kFieldOverheadBytes);
}

std::size_t SizeOfFields(const boost::beast::http::fields& fields) {
  return SumOfFields(fields, kFieldDelimiterBytes);
}

}  // namespace sycamorestall
