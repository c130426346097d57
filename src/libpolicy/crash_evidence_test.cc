#include "amaranthroute/policy/crash_evidence.h"

#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>

#include <algorithm>
#include <map>

namespace amaranth {
namespace {

using Fingerprints = std::vector<uint64_t>;

CrashCandidate Candidate(uint64_t fingerprint, uint32_t earlier_crashes) {
  CrashCandidate candidate;
  candidate.fingerprint = fingerprint;
  candidate.earlier_crashes = earlier_crashes;
  return candidate;
}

CrashCandidate AnsweredLately(uint64_t fingerprint, uint32_t earlier_crashes) {
  CrashCandidate candidate = Candidate(fingerprint, earlier_crashes);
  candidate.answered_lately = true;
  return candidate;
}

std::vector<CrashCandidate> Range(uint64_t first, uint64_t last) {
  std::vector<CrashCandidate> candidates;
  for (uint64_t i = first; i <= last; ++i) {
    candidates.push_back(Candidate(i, 0));
  }
  return candidates;
}

}  // namespace

TEST_GROUP(CrashEvidence){};

TEST(CrashEvidence, FewInFlightAtAFirstCrashAreSuspects) {
  const CrashDecision decision = DecideCrash(
      {Candidate(2, 0), Candidate(1, 0), Candidate(2, 0), Candidate(0, 0)},
      false);
  CHECK(decision.suspects == (Fingerprints{1, 2}));
  CHECK(decision.convicted.empty());
}

// Guards against a server that serves one request at a time long after a crash
// with many in flight.
TEST(CrashEvidence, ManyInFlightAtAFirstCrashAreNoSuspects) {
  const CrashDecision decision = DecideCrash(Range(1, 100), false);
  CHECK(decision.suspects.empty());
  CHECK_EQUAL(100u, decision.unsuspected.size());
}

// Guards against a request that goes on crashing servers at different nodes
// because many others are in flight with it.
TEST(CrashEvidence, TheOnlyOneInFlightAtAnEarlierCrashIsTheSuspect) {
  std::vector<CrashCandidate> in_flight = Range(1, 100);
  in_flight[41].earlier_crashes = 1;
  const CrashDecision decision = DecideCrash(in_flight, false);
  CHECK(decision.suspects == Fingerprints{42});
  CHECK_EQUAL(99u, decision.unsuspected.size());
}

TEST(CrashEvidence, ASuspectThatRanAloneAtASecondCrashIsConvicted) {
  CHECK(DecideCrash({Candidate(1, 1)}, true).convicted == Fingerprints{1});
  CHECK(DecideCrash({AnsweredLately(1, 1)}, true).convicted == Fingerprints{1});
  CHECK(DecideCrash({Candidate(1, 0)}, true).suspects == Fingerprints{1});
}

// Guards against the refusal of all calls of one kind, which have the same
// content, because the servers of a service crash together for another reason
// with one such call in flight at each.
TEST(CrashEvidence, OneThatIsAloneByChanceIsNotConvicted) {
  CHECK(DecideCrash({AnsweredLately(1, 3)}, false).suspects == Fingerprints{1});
  CHECK(DecideCrash({Candidate(1, 3)}, false).suspects == Fingerprints{1});
}

TEST(CrashEvidence, OnlyThoseOfMostCrashesAreSuspects) {
  const CrashDecision decision = DecideCrash(
      {Candidate(1, 2), Candidate(2, 1), Candidate(3, 2), Candidate(4, 0)},
      false);
  CHECK(decision.suspects == (Fingerprints{1, 3}));
  CHECK(decision.convicted.empty());
}

TEST(CrashEvidence, ARequestAnsweredSinceItsCrashIsNoSuspect) {
  CrashCandidate page = Candidate(1, 3);
  page.answered_since_crash = true;
  const CrashDecision decision = DecideCrash({page, Candidate(2, 1)}, false);
  CHECK(decision.suspects == Fingerprints{2});
  CHECK(decision.unsuspected == Fingerprints{1});
}

// Guards against pages that run alone because servers crash together with them
// in flight, although another request comes into question.
TEST(CrashEvidence, OneThatWasNotAnsweredLatelyIsSuspectedFirst) {
  CHECK(DecideCrash({AnsweredLately(1, 1), Candidate(2, 0)}, false).suspects ==
        Fingerprints{1});
  CHECK(DecideCrash({AnsweredLately(1, 1), Candidate(2, 1)}, false).suspects ==
        Fingerprints{2});
}

// One request crashes the servers while others are in flight at random, until
// it is a suspect and runs alone.
TEST(CrashEvidence, TheCauseIsConvictedAndNoOther) {
  CHECK(rc::check([] {
    constexpr uint64_t kCause = 1;
    const uint64_t pages = *rc::gen::inRange<uint64_t>(10, 200);
    const int share_percent = *rc::gen::inRange(1, 60);
    std::map<uint64_t, uint32_t> crashes;
    bool runs_alone = false;
    bool convicted = false;
    while (!convicted && crashes[kCause] < 3) {
      std::vector<CrashCandidate> in_flight = {
          Candidate(kCause, crashes[kCause])};
      for (uint64_t page = 2; page <= pages && !runs_alone; ++page) {
        if (*rc::gen::inRange(0, 100) < share_percent) {
          in_flight.push_back(AnsweredLately(page, crashes[page]));
        }
      }
      const CrashDecision decision = DecideCrash(in_flight, runs_alone);
      for (const CrashCandidate& one : in_flight) ++crashes[one.fingerprint];
      for (const uint64_t fingerprint : decision.convicted) {
        RC_ASSERT(fingerprint == kCause);
        convicted = true;
      }
      runs_alone = std::count(decision.suspects.begin(),
                              decision.suspects.end(), kCause) > 0;
      RC_ASSERT(decision.suspects.size() <= kMaxSuspectsPerCrash);
    }
    RC_ASSERT(convicted);
  }));
}

}  // namespace amaranth
