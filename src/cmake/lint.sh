#!/usr/bin/env bash
# clang-tidy over the given files' translation units. A file that was clean is
# not checked again until it, a header or the configuration changes: the stamp
# is a hash over the preprocessed input, so a stale pass cannot hide a finding.
set -euo pipefail
cache="${AMARANTH_LINT_CACHE:-${XDG_CACHE_HOME:-$HOME/.cache}/amaranth-lint}"
mkdir -p "$cache"
export cache
export config_hash
config_hash=$(cat .clang-tidy | sha256sum | cut -d' ' -f1)
headers_hash=$(printf '%s\n' "$@" | grep '\.h$' | xargs cat | sha256sum |
  cut -d' ' -f1)
export headers_hash

lint_one() {
  local file=$1 stamp
  stamp=$( { echo "$config_hash $headers_hash"; cat "$file"; } | sha256sum |
    cut -d' ' -f1)
  [ -e "$cache/$stamp" ] && return 0
  clang-tidy --quiet -p build "$file" 2>/dev/null || {
    echo "lint: $file" >&2
    return 1
  }
  touch "$cache/$stamp"
}
export -f lint_one

printf '%s\n' "$@" | grep '\.cc$' |
  xargs -P "$(nproc)" -I{} bash -c 'lint_one {}'
