#include "libnode/shared/credit_ledger.h"

#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>

#include <vector>

namespace amaranth::pvt {

TEST_GROUP(CreditLedger){};

TEST(CreditLedger, KeepsOneOfSeveralForTheRetryNextToTheFailure) {
  CreditLedger ledger(3);
  CHECK_EQUAL(2, ledger.GrantToAttempt());
  CHECK_EQUAL(1, ledger.available());
}

TEST(CreditLedger, GrantsItsLastCreditSoThatDeepHopsHaveOne) {
  CreditLedger ledger(1);
  CHECK_EQUAL(1, ledger.GrantToAttempt());
  CHECK_FALSE(ledger.Spend());
}

// A faulty or hostile peer that returns more credits than it was granted would
// otherwise create retries beyond the limit.
TEST(CreditLedger, TakesBackNoMoreThanItGranted) {
  CreditLedger ledger(3);
  const uint16_t granted = ledger.GrantToAttempt();
  ledger.Return(granted, 500);
  CHECK_EQUAL(3, ledger.available());
}

TEST(CreditLedger, SumOverATreeNeverGrows) {
  const bool held = rc::check(
      "credits are conserved or burnt", [](const std::vector<uint8_t>& steps) {
        std::vector<CreditLedger> ledgers = {CreditLedger(5)};
        std::vector<uint16_t> granted = {0};
        int spent = 0;
        for (const uint8_t step : steps) {
          CreditLedger& top = ledgers.back();
          switch (step % 5) {
            case 0:
              spent += top.Spend() ? 1 : 0;
              break;
            case 1:
            case 2: {
              const uint16_t amount =
                  step % 5 == 1 ? top.GrantToAttempt() : top.GrantToNested();
              granted.push_back(amount);
              ledgers.emplace_back(amount);
              break;
            }
            default: {
              if (ledgers.size() == 1) break;
              const uint16_t back = ledgers.back().available();
              const bool lost = step % 5 == 4;
              ledgers.pop_back();
              if (!lost) ledgers.back().Return(granted.back(), back);
              granted.pop_back();
            }
          }
          int sum = spent;
          for (const CreditLedger& ledger : ledgers) sum += ledger.available();
          RC_ASSERT(sum <= 5);
        }
      });
  CHECK(held);
}

}  // namespace amaranth::pvt
