#!/usr/bin/env bash
# Checks the include order of the reducer's parts: a part may include only
# itself and the parts listed before it, so that its folder limits what its code
# can depend on. Tests are exempt.
set -euo pipefail
cd "$(dirname "$0")/../libnode"

parts=(shared membership settings customers bottleneck reservations serving entry)
allowed=""
status=0
for part in "${parts[@]}"; do
  allowed="$allowed|$part"
  # membership and settings must not include each other: the order excludes one
  # direction, the second check the other.
  wrong=$(grep -n '#include "libnode/' "$part"/*.h "$part"/*.cc |
    grep -v '_test\.cc:' |
    grep -Ev "\"libnode/(${allowed#|})/" || true)
  [ "$part" = settings ] &&
    wrong+=$(grep -n '"libnode/membership/' settings/*.h settings/*.cc || true)
  if [ -n "$wrong" ]; then
    echo "libnode/$part includes a part listed after it, or its sibling:"
    echo "$wrong"
    status=1
  fi
done
exit $status
