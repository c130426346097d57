#!/usr/bin/env bash
# Checks one spin model, as a ctest case.
#
#   run_model.sh MODEL.pml                 all its promises must hold
#   run_model.sh MODEL.pml MUTATION_NAME   the model with -DMUTATION_NAME breaks
#                                          a promise; the search must find it
#
# A search that hit a limit proves nothing, so it fails as well. MODEL_DEPTH
# and MODEL_MEMORY_MB raise the limits.
set -euo pipefail
model=$(realpath "$1")
mutation="${2:-}"
depth="${MODEL_DEPTH:-1000000}"
memory="${MODEL_MEMORY_MB:-2048}"

work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
cd "$work"

spin ${mutation:+-D"$mutation"} -a "$model" > spin.log || {
  cat spin.log
  exit 1
}
# COLLAPSE keeps the states small.
# SAFETY: the promises are assertions and the absence of deadlock.
cc -O2 -w -DSAFETY -DCOLLAPSE -DMEMLIM="$memory" -o pan pan.c
./pan -m"$depth" > pan.log 2>&1 || true

errors=$(sed -n 's/.*errors: \([0-9]*\).*/\1/p' pan.log | head -1)
grep -E 'assertion violated|invalid end state|errors:|stored|transitions' \
  pan.log || true
[ -n "$errors" ] || {
  cat pan.log
  echo "the search did not end"
  exit 1
}

if [ -n "$mutation" ]; then
  [ "$errors" -gt 0 ] || {
    echo "$mutation was not caught"
    exit 1
  }
  echo "$mutation caught"
  exit 0
fi

if grep -qE 'max search depth too small|search not completed|out of memory' \
  pan.log; then
  cat pan.log
  echo "the search is incomplete"
  exit 1
fi
[ "$errors" -eq 0 ]
