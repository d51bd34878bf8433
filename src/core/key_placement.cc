#include "core/key_placement.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <optional>

namespace sycamorestall {

namespace {

// Moves of one plan.
constexpr std::size_t kMaxMoves = 12;
// An endpoint above this multiple of the mean load gives keys away, if its load were
// known exactly; so many standard deviations of it are taken for chance.
constexpr double kTooBusy = 1.1;
constexpr double kNoise = 2.0;
// Below this load, in requests a second against the mean capacity, nothing is
// worth a move.
constexpr double kIdleRate = 4.0;
// A piece may bring its target to this multiple of the mean.
constexpr double kMaxTargetLoad = 1.05;

// A key that alone loads its owner to this multiple of the mean is a hot one, and
// moves to an endpoint whose capacity is larger by this factor.
constexpr double kHotKeyLoad = 2.0;
constexpr double kWorthMovingHotKey = 1.25;

// An endpoint while a plan is made.
struct Bin {
  const PlacementTarget* target = nullptr;
  double rate = 0;

  double load() const { return rate / target->capacity; }
};

// A piece of one range with its requests a second.
struct Piece {
  KeyRange range;
  double rate = 0;
};

// Works out one plan.
class Planner {
 public:
  Planner(const std::vector<OwnedRange>& ranges, const KeyDemand& demand,
          const std::vector<PlacementTarget>& targets)
      : ranges_(ranges), demand_(demand) {
    for (const PlacementTarget& target : targets) {
      bins_[target.id] = {&target, 0};
      capacity_ += target.capacity;
    }
    for (const OwnedRange& range : ranges_) {
      const auto bin = bins_.find(range.owner);
      if (bin != bins_.end()) {
        const double rate = demand_.Rate(range.range);
        bin->second.rate += rate;
        rate_ += rate;
      }
    }
  }

  std::vector<KeyMove> Run() {
    if (bins_.size() < 2 || rate_ < kIdleRate) {
      return {};
    }
    MoveHottestKey();
    // Each round moves one piece; a round without a move retires its endpoint.
    std::vector<InstanceId> finished;
    while (moves_.size() < kMaxMoves) {
      Bin* busiest = Busiest(finished);
      if (busiest == nullptr || busiest->load() <= TooBusy(*busiest) * MeanLoad()) {
        break;
      }
      if (!MoveOnePiece(*busiest)) {
        finished.push_back(busiest->target->id);
      }
    }
    return moves_;
  }

 private:
  double MeanLoad() const { return rate_ / capacity_; }

  // The multiple of the mean load above which an endpoint gives keys away. Few
  // requests vary by chance, and moving keys for that would only take them from
  // their callers.
  static double TooBusy(const Bin& bin) {
    return kTooBusy + kNoise / std::sqrt(std::max(1.0, KeyDemand::SampleCount(bin.rate)));
  }

  Bin* Busiest(const std::vector<InstanceId>& finished) {
    Bin* busiest = nullptr;
    for (auto& [id, bin] : bins_) {
      const bool skip = std::find(finished.begin(), finished.end(), id) != finished.end();
      if (!skip && (busiest == nullptr || bin.load() > busiest->load())) {
        busiest = &bin;
      }
    }
    return busiest;
  }

  Bin& Idlest() {
    return std::min_element(bins_.begin(), bins_.end(),
                            [](const auto& left, const auto& right) {
                              return left.second.load() < right.second.load();
                            })
        ->second;
  }

  // A key that is more than its owner can do goes to the most capable endpoint,
  // if that one can do much more.
  void MoveHottestKey() {
    const auto hottest = std::max_element(
        demand_.rates().begin(), demand_.rates().end(),
        [](const auto& left, const auto& right) { return left.second < right.second; });
    const auto home = std::find_if(ranges_.begin(), ranges_.end(), [&](const OwnedRange& each) {
      return each.range.Contains(hottest->first);
    });
    if (home == ranges_.end() || !bins_.contains(home->owner)) {
      return;
    }
    Bin& from = bins_.at(home->owner);
    const auto best =
        std::max_element(bins_.begin(), bins_.end(), [](const auto& left, const auto& right) {
          return left.second.target->capacity < right.second.target->capacity;
        });
    const double alone = hottest->second / from.target->capacity;
    if (alone < kHotKeyLoad * MeanLoad() ||
        best->second.target->capacity < kWorthMovingHotKey * from.target->capacity) {
      return;
    }
    from.rate -= hottest->second;
    best->second.rate += hottest->second;
    moves_.push_back({{hottest->first, hottest->first}, best->first});
  }

  bool MoveOnePiece(Bin& from) {
    Bin& to = Idlest();
    const double room = kMaxTargetLoad * MeanLoad() * to.target->capacity - to.rate;
    const double excess = from.rate - MeanLoad() * from.target->capacity;
    const double wanted = std::min(room, excess);
    const std::optional<Piece> piece = FindPiece(from.target->id, wanted);
    if (!piece || &from == &to) {
      return false;
    }
    from.rate -= piece->rate;
    to.rate += piece->rate;
    moves_.push_back({piece->range, to.target->id});
    return true;
  }

  bool IsTaken(KeyNumber key) const {
    return std::any_of(moves_.begin(), moves_.end(),
                       [key](const KeyMove& move) { return move.range.Contains(key); });
  }

  // The piece around the busiest key that still fits, grown while it fits.
  std::optional<Piece> FindPiece(const InstanceId& owner, double wanted) const {
    std::optional<Piece> best;
    for (const OwnedRange& owned : ranges_) {
      if (owned.owner != owner) {
        continue;
      }
      const auto begin = demand_.rates().lower_bound(owned.range.first);
      for (auto key = begin; key != demand_.rates().end() && key->first <= owned.range.last;
           ++key) {
        const bool better = !best || key->second > best->rate;
        if (better && key->second <= wanted && !IsTaken(key->first)) {
          best = Piece{{key->first, key->first}, key->second};
        }
      }
    }
    if (best) {
      Grow(*best, owner, wanted);
    }
    return best;
  }

  void Grow(Piece& piece, const InstanceId& owner, double wanted) const {
    const auto home = std::find_if(ranges_.begin(), ranges_.end(), [&](const OwnedRange& each) {
      return each.owner == owner && each.range.Contains(piece.range.first);
    });
    const std::map<KeyNumber, double>& rates = demand_.rates();
    auto left = rates.find(piece.range.first);
    auto right = left;
    for (;;) {
      const bool can_left = left != rates.begin() && std::prev(left)->first >= home->range.first &&
                            !IsTaken(std::prev(left)->first) &&
                            piece.rate + std::prev(left)->second <= wanted;
      const auto next = std::next(right);
      const bool can_right = next != rates.end() && next->first <= home->range.last &&
                             !IsTaken(next->first) && piece.rate + next->second <= wanted;
      if (!can_left && !can_right) {
        return;
      }
      const bool go_left = can_left && (!can_right || piece.range.first - std::prev(left)->first <=
                                                          next->first - piece.range.last);
      if (go_left) {
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
  std::map<InstanceId, Bin> bins_;
  double capacity_ = 0;
  double rate_ = 0;
  std::vector<KeyMove> moves_;
};

}  // namespace

std::vector<KeyMove> DensePiecePlacement::Plan(const std::vector<OwnedRange>& ranges,
                                               const KeyDemand& demand,
                                               const std::vector<PlacementTarget>& targets) const {
  return Planner{ranges, demand, targets}.Run();
}

std::vector<KeyMove> SplitKeysByCapacity(const std::vector<PlacementTarget>& targets) {
  double total = 0;
  for (const PlacementTarget& target : targets) {
    total += target.capacity;
  }
  std::vector<KeyMove> ranges;
  double before = 0;
  KeyNumber first = 0;
  for (std::size_t i = 0; i < targets.size(); ++i) {
    before += targets[i].capacity;
    const bool is_last = i + 1 == targets.size();
    const auto end = is_last ? kKeyCount : static_cast<KeyNumber>(before / total * kKeyCount);
    if (end > first) {
      ranges.push_back({{first, end - 1}, targets[i].id});
      first = end;
    }
  }
  return ranges;
}

}  // namespace sycamorestall
