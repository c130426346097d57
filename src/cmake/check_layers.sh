#!/usr/bin/env bash
# The parts of the reducer may include only what stands before them in this
# order, so that a reader knows from the folder what a line can touch.
set -euo pipefail
cd "$(dirname "$0")/../libnode"

parts=(shared membership settings serving entry)
allowed=""
status=0
for part in "${parts[@]}"; do
  allowed="$allowed|$part"
  # membership and settings stand side by side.
  wrong=$(grep -n '#include "libnode/' "$part"/*.h "$part"/*.cc |
    grep -v '_test\.cc:' |
    grep -Ev "\"libnode/(${allowed#|})/" || true)
  [ "$part" = settings ] &&
    wrong+=$(grep -n '"libnode/membership/' settings/*.h settings/*.cc || true)
  if [ -n "$wrong" ]; then
    echo "libnode/$part includes what stands after it:"
    echo "$wrong"
    status=1
  fi
done
exit $status
