#!/usr/bin/env bash
# run_fuzzer.sh FUZZER CORPUS RUNS: runs a fuzzer briefly and reproducibly. New
# inputs are stored in an initially empty folder beside the fuzzer, so that they
# change neither the committed corpus nor the next run.
set -euo pipefail
fuzzer=$1 corpus=$2 runs=$3
found="$fuzzer.found"
rm -rf "$found"
mkdir -p "$found"
exec "$fuzzer" -runs="$runs" -seed=1 -max_len=4096 -rss_limit_mb=512 \
  -print_final_stats=1 -artifact_prefix="$fuzzer." "$found" "$corpus"
