#!/usr/bin/env bash
# The parts of the reducer may include only what stands before them in this
# order, so that a reader knows from the folder what a line can touch.
set -euo pipefail
cd "$(dirname "$0")/../libnode"

rooms=(shared membership settings serving entry)
allowed=""
status=0
for room in "${rooms[@]}"; do
  allowed="$allowed|$room"
  # membership and settings stand side by side.
  wrong=$(grep -n '#include "libnode/' "$room"/*.h "$room"/*.cc |
    grep -v '_test\.cc:' |
    grep -Ev "\"libnode/(${allowed#|})/" || true)
  [ "$room" = settings ] &&
    wrong+=$(grep -n '"libnode/membership/' settings/*.h settings/*.cc || true)
  if [ -n "$wrong" ]; then
    echo "libnode/$room includes what stands after it:"
    echo "$wrong"
    status=1
  fi
done
exit $status
