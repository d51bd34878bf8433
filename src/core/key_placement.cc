#include "core/key_placement.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <optional>

namespace sycamorestall {

namespace {

// The maximum number of moves in one plan, for few endpoints and as a share of many: a burst of
// requests for a few keys has to be spread over many endpoints before it is over.
constexpr std::size_t kMinMoveLimit = 12;
constexpr std::size_t kEndpointsPerMove = 4;
// An endpoint gives keys away if its load exceeds this multiple of the mean by more
// than this many standard deviations of its measured load, as smaller excesses may be
// chance.
constexpr double kOverloadFactor = 1.1;
constexpr double kNoiseDeviations = 2.0;
// An endpoint gives nothing away below this share of what it can run: a move interrupts the callers
// of its keys, and nobody waits long there.
constexpr double kMinOverloadUtilization = 0.5;
// Total requests per second below which no move is worth making.
constexpr double kMinTotalRate = 4.0;
// A move may raise the load of its target to this multiple of the mean, or to this share of what it
// can run, whichever is more: a busy key often has more requests than the mean endpoint.
constexpr double kMaxTargetLoad = 1.05;
constexpr double kMaxTargetUtilization = 0.7;
// The same for pieces of an endpoint that has more requests than it can run.
constexpr double kMaxUrgentTargetUtilization = 0.95;
// A key that fits no endpoint moves off an overloaded one if its new owner has at most this share
// of the old one's requests.
constexpr double kMaxLoadAfterUrgentMove = 0.75;

// A key that alone loads its owner to this multiple of the mean, and beyond kMaxTargetUtilization,
// is hot. It moves only to an endpoint whose capacity is larger by this factor.
constexpr double kHotKeyLoad = 2.0;
constexpr double kHotKeyMinCapacityGain = 1.25;

// The requests per second of an endpoint, with the moves planned so far.
struct EndpointRate {
  const KeyPlacementTarget* target = nullptr;
  double rate = 0;

  double load() const { return rate / target->capacity; }
};

// A piece of one range and its requests per second.
struct Piece {
  KeyRange range;
  double rate = 0;
};

// Computes one plan.
class Planner {
 public:
  Planner(const std::vector<OwnedRange>& ranges, const KeyDemand& demand,
          const std::vector<KeyPlacementTarget>& targets)
      : ranges_(ranges), demand_(demand) {
    for (const KeyPlacementTarget& target : targets) {
      endpoints_[target.id] = {&target, 0};
      total_capacity_ += target.capacity;
    }
    for (const OwnedRange& range : ranges_) {
      const auto endpoint = endpoints_.find(range.owner);
      if (endpoint != endpoints_.end()) {
        const double rate = demand_.Rate(range.range);
        endpoint->second.rate += rate;
        total_rate_ += rate;
      }
    }
  }

  std::vector<KeyMove> MakePlan() {
    if (endpoints_.size() < 2 || total_rate_ < kMinTotalRate) {
      return {};
    }
    MoveHottestKey();
    // Each round moves one piece. An endpoint that has no piece to move is not tried
    // again.
    std::vector<InstanceId> exhausted;
    const std::size_t max_moves = std::max(kMinMoveLimit, endpoints_.size() / kEndpointsPerMove);
    while (moves_.size() < max_moves) {
      EndpointRate* most_loaded = MostLoaded(exhausted);
      const bool is_even = most_loaded != nullptr && most_loaded->target->accepts_keys &&
                           most_loaded->load() <= OverloadThreshold(*most_loaded) * MeanLoad();
      if (most_loaded == nullptr || is_even) {
        break;
      }
      if (!IsBusy(*most_loaded) || !MoveOnePiece(*most_loaded)) {
        exhausted.push_back(most_loaded->target->id);
      }
    }
    return moves_;
  }

 private:
  double MeanLoad() const { return total_rate_ / total_capacity_; }

  // The multiple of the mean load above which an endpoint gives keys away. It is higher
  // for few requests: they vary by chance, and moving keys for that would only
  // interrupt their callers.
  double OverloadThreshold(const EndpointRate& endpoint) const {
    return kOverloadFactor +
           kNoiseDeviations / std::sqrt(std::max(1.0, demand_.SampleCount(endpoint.rate)));
  }

  EndpointRate* MostLoaded(const std::vector<InstanceId>& exhausted) {
    EndpointRate* most_loaded = nullptr;
    for (auto& [id, endpoint] : endpoints_) {
      const bool skip = std::find(exhausted.begin(), exhausted.end(), id) != exhausted.end();
      if (!skip && (most_loaded == nullptr || endpoint.load() > most_loaded->load())) {
        most_loaded = &endpoint;
      }
    }
    return most_loaded;
  }

  // Whether requests may have to wait at an endpoint. One that is to have few keys gives away all
  // that exceeds what it can run.
  static bool IsBusy(const EndpointRate& endpoint) {
    if (!endpoint.target->accepts_keys) {
      return endpoint.rate > endpoint.target->max_rate;
    }
    return endpoint.rate >= kMinOverloadUtilization * endpoint.target->max_rate;
  }

  static bool IsOverloaded(const EndpointRate& endpoint) {
    return endpoint.target->max_rate > 0 && endpoint.rate > endpoint.target->max_rate;
  }

  // How many more requests per second an endpoint may be given by another.
  double SpareRate(const EndpointRate& endpoint, const EndpointRate& from) const {
    const double utilization =
        IsOverloaded(from) ? kMaxUrgentTargetUtilization : kMaxTargetUtilization;
    const double limit = std::max(kMaxTargetLoad * MeanLoad() * endpoint.target->capacity,
                                  utilization * endpoint.target->max_rate);
    return limit - endpoint.rate;
  }

  // The requests per second of an endpoint that should be run elsewhere.
  double ExcessRate(const EndpointRate& endpoint) const {
    return endpoint.target->accepts_keys ? endpoint.rate - MeanLoad() * endpoint.target->capacity
                                         : endpoint.rate - endpoint.target->max_rate;
  }

  // Returns null if no endpoint accepts keys.
  EndpointRate* LeastLoaded() {
    EndpointRate* least_loaded = nullptr;
    for (auto& [id, endpoint] : endpoints_) {
      if (endpoint.target->accepts_keys &&
          (least_loaded == nullptr || endpoint.load() < least_loaded->load())) {
        least_loaded = &endpoint;
      }
    }
    return least_loaded;
  }

  // Whether a key alone loads an endpoint more than it should be.
  bool IsTooHotFor(double rate, const EndpointRate& endpoint) const {
    const double limit = std::max(kHotKeyLoad * MeanLoad() * endpoint.target->capacity,
                                  kMaxTargetUtilization * endpoint.target->max_rate);
    return rate >= limit;
  }

  // Moves the hottest key, if it exceeds the capacity of its owner, to the endpoint of much higher
  // capacity that is least loaded with it.
  void MoveHottestKey() {
    const auto hottest = std::max_element(
        demand_.rates().begin(), demand_.rates().end(),
        [](const auto& left, const auto& right) { return left.second < right.second; });
    const auto owned_range =
        std::find_if(ranges_.begin(), ranges_.end(),
                     [&](const OwnedRange& each) { return each.range.Contains(hottest->first); });
    if (owned_range == ranges_.end() || !endpoints_.contains(owned_range->owner)) {
      return;
    }
    EndpointRate& from = endpoints_.at(owned_range->owner);
    if (!IsTooHotFor(hottest->second, from)) {
      return;
    }
    EndpointRate* best = nullptr;
    const auto load_with_key = [&](const EndpointRate& endpoint) {
      return (endpoint.rate + hottest->second) / endpoint.target->capacity;
    };
    for (auto& [id, endpoint] : endpoints_) {
      const bool larger =
          endpoint.target->accepts_keys &&
          endpoint.target->capacity >= kHotKeyMinCapacityGain * from.target->capacity;
      if (larger && (best == nullptr || load_with_key(endpoint) < load_with_key(*best))) {
        best = &endpoint;
      }
    }
    if (best == nullptr) {
      return;
    }
    from.rate -= hottest->second;
    best->rate += hottest->second;
    moves_.push_back({{hottest->first, hottest->first}, best->target->id});
  }

  bool MoveOnePiece(EndpointRate& from) {
    EndpointRate* least_loaded = LeastLoaded();
    if (least_loaded == nullptr || &from == least_loaded) {
      return false;
    }
    EndpointRate& to = *least_loaded;
    const double excess = ExcessRate(from);
    const double max_rate = std::min(SpareRate(to, from), excess);
    // Of an endpoint that is to have few keys, a key may also exceed the excess.
    const double max_key_rate =
        from.target->accepts_keys ? max_rate : std::min(SpareRate(to, from), from.rate);
    std::optional<Piece> piece = FindPiece(from.target->id, max_key_rate);
    if (piece) {
      GrowPiece(*piece, from.target->id, max_rate);
    } else if (IsOverloaded(from)) {
      // No endpoint can run all requests for such a key, but they wait for fewer others elsewhere.
      piece = FindPiece(from.target->id, kMaxLoadAfterUrgentMove * from.rate - to.rate);
    }
    if (!piece) {
      return false;
    }
    from.rate -= piece->rate;
    to.rate += piece->rate;
    moves_.push_back({piece->range, to.target->id});
    return true;
  }

  bool IsInPlan(KeyNumber key) const {
    return std::any_of(moves_.begin(), moves_.end(),
                       [key](const KeyMove& move) { return move.range.Contains(key); });
  }

  // Returns the busiest key of an endpoint whose rate is within `max_rate`.
  std::optional<Piece> FindPiece(const InstanceId& owner, double max_rate) const {
    std::optional<Piece> best;
    for (const OwnedRange& owned : ranges_) {
      if (owned.owner != owner) {
        continue;
      }
      const auto begin = demand_.rates().lower_bound(owned.range.first);
      for (auto key = begin; key != demand_.rates().end() && key->first <= owned.range.last;
           ++key) {
        const bool better = !best || key->second > best->rate;
        if (better && key->second <= max_rate && !IsInPlan(key->first)) {
          best = Piece{{key->first, key->first}, key->second};
        }
      }
    }
    return best;
  }

  // Adds the neighbors of a piece on both sides as far as it stays within `max_rate`.
  void GrowPiece(Piece& piece, const InstanceId& owner, double max_rate) const {
    const auto owned_range =
        std::find_if(ranges_.begin(), ranges_.end(), [&](const OwnedRange& each) {
          return each.owner == owner && each.range.Contains(piece.range.first);
        });
    const std::map<KeyNumber, double>& rates = demand_.rates();
    auto left = rates.find(piece.range.first);
    auto right = left;
    for (;;) {
      const bool can_grow_left =
          left != rates.begin() && std::prev(left)->first >= owned_range->range.first &&
          !IsInPlan(std::prev(left)->first) && piece.rate + std::prev(left)->second <= max_rate;
      const auto next = std::next(right);
      const bool can_grow_right = next != rates.end() && next->first <= owned_range->range.last &&
                                  !IsInPlan(next->first) && piece.rate + next->second <= max_rate;
      if (!can_grow_left && !can_grow_right) {
        return;
      }
      const bool grow_left =
          can_grow_left && (!can_grow_right || piece.range.first - std::prev(left)->first <=
                                                   next->first - piece.range.last);
      if (grow_left) {
        --left;
        piece.range.first = left->first;
        piece.rate += left->second;
      } else {
        right = next;
        piece.range.last = right->first;
        piece.rate += right->second;
      }
    }
  }

  const std::vector<OwnedRange>& ranges_;
  const KeyDemand& demand_;
  std::map<InstanceId, EndpointRate> endpoints_;
  double total_capacity_ = 0;
  double total_rate_ = 0;
  std::vector<KeyMove> moves_;
};

}  // namespace

std::vector<KeyMove> DensePiecePlacement::Plan(
    const std::vector<OwnedRange>& ranges, const KeyDemand& demand,
    const std::vector<KeyPlacementTarget>& targets) const {
  return Planner{ranges, demand, targets}.MakePlan();
}

std::vector<KeyMove> SplitKeysByCapacity(const std::vector<KeyPlacementTarget>& targets) {
  double total = 0;
  for (const KeyPlacementTarget& target : targets) {
    total += target.capacity;
  }
  std::vector<KeyMove> ranges;
  double capacity_so_far = 0;
  KeyNumber first = 0;
  for (std::size_t i = 0; i < targets.size(); ++i) {
    capacity_so_far += targets[i].capacity;
    const bool is_last = i + 1 == targets.size();
    const auto end =
        is_last ? kKeyCount : static_cast<KeyNumber>(capacity_so_far / total * kKeyCount);
    if (end > first) {
      ranges.push_back({{first, end - 1}, targets[i].id});
      first = end;
    }
  }
  return ranges;
}

}  // namespace sycamorestall
