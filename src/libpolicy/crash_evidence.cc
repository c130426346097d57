#include "amaranthroute/policy/crash_evidence.h"

#include <algorithm>
#include <utility>

namespace amaranth {
namespace {

std::vector<CrashCandidate> Unique(std::vector<CrashCandidate> candidates) {
  std::sort(candidates.begin(), candidates.end(),
            [](const CrashCandidate& a, const CrashCandidate& b) {
              return a.fingerprint < b.fingerprint;
            });
  candidates.erase(
      std::unique(candidates.begin(), candidates.end(),
                  [](const CrashCandidate& a, const CrashCandidate& b) {
                    return a.fingerprint == b.fingerprint;
                  }),
      candidates.end());
  candidates.erase(std::remove_if(candidates.begin(), candidates.end(),
                                  [](const CrashCandidate& candidate) {
                                    return candidate.fingerprint == 0;
                                  }),
                   candidates.end());
  return candidates;
}

uint32_t MaxEarlierCrashes(const std::vector<CrashCandidate>& candidates) {
  uint32_t max = 0;
  for (const CrashCandidate& candidate : candidates) {
    if (candidate.answered_since_crash) continue;
    max = std::max(max, candidate.earlier_crashes);
  }
  return max;
}

}  // namespace

CrashDecision DecideCrash(std::vector<CrashCandidate> in_flight,
                          bool ran_alone) {
  const std::vector<CrashCandidate> candidates = Unique(std::move(in_flight));
  const uint32_t max_crashes = MaxEarlierCrashes(candidates);
  std::vector<uint64_t> answered;  // lately, and of the highest count
  std::vector<uint64_t> unanswered;
  CrashDecision decision;
  for (const CrashCandidate& candidate : candidates) {
    if (candidate.answered_since_crash ||
        candidate.earlier_crashes < max_crashes) {
      decision.unsuspected.push_back(candidate.fingerprint);
    } else if (candidate.answered_lately) {
      // Several servers may crash together for another reason, with the same
      // popular pages in flight.
      answered.push_back(candidate.fingerprint);
    } else {
      unanswered.push_back(candidate.fingerprint);
    }
  }
  const bool one_in_question = answered.size() + unanswered.size() == 1;
  if (ran_alone && one_in_question && max_crashes > 0) {
    decision.convicted = unanswered.empty() ? answered : unanswered;
    return decision;
  }
  std::vector<uint64_t>& in_question =
      unanswered.empty() ? answered : unanswered;
  const bool too_many = in_question.size() > kMaxSuspectsPerCrash;
  for (std::vector<uint64_t>* group : {&answered, &unanswered}) {
    std::vector<uint64_t>& target = group == &in_question && !too_many
                                        ? decision.suspects
                                        : decision.unsuspected;
    target.insert(target.end(), group->begin(), group->end());
  }
  return decision;
}

}  // namespace amaranth
