#include "libutil/memory_budget.h"

#include <CppUTest/TestHarness.h>

#include <vector>

namespace amaranth::pvt {
namespace {

constexpr uint64_t kLimit = 120;

}  // namespace

TEST_GROUP(MemoryBudget) {
  std::shared_ptr<MemoryBudget> budget = std::make_shared<MemoryBudget>(kLimit);

  MemoryLease Lease(MemoryUse use = MemoryUse::kResponse) const {
    return MemoryLease(budget, use);
  }

  // Returns the size up to which the lease can grow byte by byte.
  static uint64_t Fill(MemoryLease & lease) {
    while (lease.Resize(lease.bytes() + 1)) {
    }
    return lease.bytes();
  }
};

TEST(MemoryBudget, LeasesAreGivenBack) {
  {
    MemoryLease lease = Lease();
    CHECK(lease.Resize(20));
    const MemoryLease moved = std::move(lease);
    CHECK_EQUAL(20u, budget->used());
    MemoryLease other = Lease();
    CHECK(other.Resize(30));
    other = Lease();
    CHECK_EQUAL(20u, budget->used());
    // A lease that was moved from still belongs to the budget.
    CHECK(lease.Resize(5));  // NOLINT(bugprone-use-after-move)
    CHECK_EQUAL(25u, budget->used());
  }
  CHECK_EQUAL(0u, budget->used());
}

// Guards against messages without end that use all memory, so that no other
// message finds room.
TEST(MemoryBudget, ManyEndlessMessagesLeaveRoomForSmallOnes) {
  constexpr size_t kMessages = 20;
  std::vector<MemoryLease> endless;
  endless.reserve(kMessages);
  for (size_t i = 0; i < kMessages; ++i) endless.push_back(Lease());
  bool grows = true;
  while (grows) {
    grows = false;
    for (MemoryLease& lease : endless) grows |= lease.Resize(lease.bytes() + 1);
  }
  CHECK(budget->used() <= kLimit);
  MemoryLease small = Lease();
  CHECK(small.Resize(1));
}

TEST(MemoryBudget, OneMessageMayUseTwoThirdsOfWhatIsNotReserved) {
  constexpr uint64_t kMost = (kLimit - kLimit / 8) * 2 / 3;
  MemoryLease lease = Lease();
  CHECK_EQUAL(kMost, Fill(lease));
  CHECK(!lease.Resize(lease.bytes() + 1));
  CHECK_EQUAL(kMost, lease.bytes());
  CHECK(lease.Resize(10));
  CHECK_EQUAL(10u, budget->used());
}

// Guards against requests whose answers find no room, and against answers that
// callers do not read, which block all requests.
TEST(MemoryBudget, EachUseLeavesAPartToTheOther) {
  for (const MemoryUse use : {MemoryUse::kRequest, MemoryUse::kResponse}) {
    const bool is_request = use == MemoryUse::kRequest;
    std::vector<MemoryLease> leases;
    do {
      leases.push_back(Lease(use));
    } while (Fill(leases.back()) > 0);
    CHECK(budget->used() <= kLimit - kLimit / 8);
    MemoryLease other =
        Lease(is_request ? MemoryUse::kResponse : MemoryUse::kRequest);
    CHECK(Fill(other) >= kLimit / 16);
    CHECK(budget->used() <= kLimit);
  }
}

TEST(MemoryBudget, ALeaseWithoutABudgetIsUnlimited) {
  MemoryLease lease;
  CHECK(lease.Resize(uint64_t{1} << 60));
}

}  // namespace amaranth::pvt
