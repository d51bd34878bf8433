#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace sycamorestall {

// A strongly typed name; the tag keeps different kinds of names apart.
template <typename Tag>
class Name {
 public:
  Name() = default;
  explicit Name(std::string value) : value_(std::move(value)) {}

  const std::string& value() const { return value_; }
  bool empty() const { return value_.empty(); }

  // NOLINTNEXTLINE(modernize-use-nullptr)
  friend auto operator<=>(const Name&, const Name&) = default;

  // For serialization with cereal, as the text.
  template <typename Archive>
  void serialize(Archive& archive) {
    archive(value_);
  }

 private:
  std::string value_;
};

// A strongly typed, ordered number; the tag keeps different kinds of numbers apart.
template <typename Tag, typename Rep>
struct Number {
  Rep value{};

  // NOLINTNEXTLINE(modernize-use-nullptr)
  friend auto operator<=>(const Number&, const Number&) = default;

  // For serialization with cereal.
  template <typename Archive>
  void serialize(Archive& archive) {
    archive(value);
  }
};

// Name of a daemon or endpoint.
using InstanceId = Name<struct InstanceTag>;
// Name of a failure domain.
using DomainName = Name<struct DomainTag>;
// Name of a service, as used in requests.
using ServiceName = Name<struct ServiceTag>;
using CustomerName = Name<struct CustomerTag>;
using PlanName = Name<struct PlanTag>;

// One of the fixed number of shards of a service.
using ShardId = Number<struct ShardTag, std::uint32_t>;
// Fencing token of a group's leader; incremented by each new leader.
using Term = Number<struct TermTag, std::uint64_t>;
// Number of owners that a shard has had.
using Epoch = Number<struct EpochTag, std::uint64_t>;
// Which history of the store a revision belongs to: rises by one each time that the store comes
// back with an older copy of its contents.
using StoreEra = Number<struct StoreEraTag, std::uint64_t>;
// Distinguishes restarts of an instance's process.
using Incarnation = Number<struct IncarnationTag, std::uint64_t>;

// Position in the history of the store, or of one key; its value is 0 if the key is absent. In a
// new era the store gives out the same values again, so the era takes precedence in comparisons.
struct Revision {
  std::uint64_t value{};
  StoreEra era{};

  friend bool operator==(const Revision&, const Revision&) = default;
  friend std::strong_ordering operator<=>(const Revision& left, const Revision& right) {
    const std::strong_ordering eras = left.era <=> right.era;
    return eras != std::strong_ordering::equal ? eras : left.value <=> right.value;
  }

  // For serialization with cereal.
  template <typename Archive>
  void serialize(Archive& archive) {
    archive(value, era);
  }
};

// The endpoints of one service in one failure domain.
struct GroupId {
  ServiceName service;
  DomainName domain;

  // NOLINTNEXTLINE(modernize-use-nullptr)
  friend auto operator<=>(const GroupId&, const GroupId&) = default;

  // For serialization with cereal.
  template <typename Archive>
  void serialize(Archive& archive) {
    archive(service, domain);
  }
};

// The group's name in logs and store keys: service/domain.
inline std::string ToString(const GroupId& group) {
  return group.service.value() + "/" + group.domain.value();
}

}  // namespace sycamorestall

// Hash of names, for unordered containers.
template <typename Tag>
struct std::hash<sycamorestall::Name<Tag>> {
  std::size_t operator()(const sycamorestall::Name<Tag>& name) const noexcept {
    return std::hash<std::string>{}(name.value());
  }
};

// Hash of numbers, for unordered containers.
template <typename Tag, typename Rep>
struct std::hash<sycamorestall::Number<Tag, Rep>> {
  std::size_t operator()(const sycamorestall::Number<Tag, Rep>& number) const noexcept {
    return std::hash<Rep>{}(number.value);
  }
};
