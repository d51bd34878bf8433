#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace sycamorestall {

// A name of one kind. Two kinds of names cannot be mixed up by accident.
template <typename Tag>
class Name {
 public:
  Name() = default;
  explicit Name(std::string value) : value_(std::move(value)) {}

  const std::string& value() const { return value_; }
  bool empty() const { return value_.empty(); }

  // NOLINTNEXTLINE(modernize-use-nullptr)
  friend auto operator<=>(const Name&, const Name&) = default;

  // Lets cereal read and write the name as its text.
  template <typename Archive>
  void serialize(Archive& archive) {
    archive(value_);
  }

 private:
  std::string value_;
};

// A number of one kind, ordered. Two kinds of numbers cannot be mixed up.
template <typename Tag, typename Rep>
struct Number {
  Rep value{};

  // NOLINTNEXTLINE(modernize-use-nullptr)
  friend auto operator<=>(const Number&, const Number&) = default;

  // Lets cereal read and write the number.
  template <typename Archive>
  void serialize(Archive& archive) {
    archive(value);
  }
};

// Names an instance: a daemon's or an endpoint's.
using InstanceId = Name<struct InstanceTag>;
// Names a failure domain.
using DomainName = Name<struct DomainTag>;
// Names a service, as callers write it.
using ServiceName = Name<struct ServiceTag>;
// Names a customer.
using CustomerName = Name<struct CustomerTag>;
// Names a plan.
using PlanName = Name<struct PlanTag>;

// One of the fixed number of shards of a service.
using ShardId = Number<struct ShardTag, std::uint32_t>;
// Fencing token of a group's leader; each takeover raises it by one.
using Term = Number<struct TermTag, std::uint64_t>;
// Counts the owners that a shard has had.
using Epoch = Number<struct EpochTag, std::uint64_t>;
// Counts what the store accepted for one key; 0 when the key is absent.
using Revision = Number<struct RevisionTag, std::uint64_t>;
// Tells one start of a process from the next on the same instance.
using Incarnation = Number<struct IncarnationTag, std::uint64_t>;

// The endpoints of one service in one failure domain.
struct GroupId {
  ServiceName service;
  DomainName domain;

  // NOLINTNEXTLINE(modernize-use-nullptr)
  friend auto operator<=>(const GroupId&, const GroupId&) = default;

  // Lets cereal read and write the identifier.
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

// Lets names be keys of unordered containers.
template <typename Tag>
struct std::hash<sycamorestall::Name<Tag>> {
  std::size_t operator()(const sycamorestall::Name<Tag>& name) const noexcept {
    return std::hash<std::string>{}(name.value());
  }
};

// Lets numbers be keys of unordered containers.
template <typename Tag, typename Rep>
struct std::hash<sycamorestall::Number<Tag, Rep>> {
  std::size_t operator()(const sycamorestall::Number<Tag, Rep>& number) const noexcept {
    return std::hash<Rep>{}(number.value);
  }
};
