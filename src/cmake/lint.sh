#!/usr/bin/env bash
# Runs clang-tidy on the given .cc files. A file without findings is not checked
# again until it, a project header that it includes, or the configuration
# changes: its cache entry is named by a hash over all of these, so a stale entry
# cannot hide a finding.
set -euo pipefail
cache="${AMARANTH_LINT_CACHE:-${XDG_CACHE_HOME:-$HOME/.cache}/amaranth-lint}"
mkdir -p "$cache"
export cache
export config_hash
config_hash=$(cat .clang-tidy | sha256sum | cut -d' ' -f1)
lint_one() {
  local file=$1 stamp
  stamp=$( { echo "$config_hash"
    g++ -std=c++17 -MM -I. -Isrc/include -Isrc "$file" | tr -d '\\\n' |
      cut -d: -f2 | xargs cat; } | sha256sum | cut -d' ' -f1)
  [ -e "$cache/$stamp" ] && return 0
  # The compile commands are for g++; clang does not know all of its warnings.
  clang-tidy --quiet -p build --extra-arg=-Wno-unknown-warning-option "$file" \
    2>/dev/null || {
    echo "lint: $file" >&2
    return 1
  }
  touch "$cache/$stamp"
}
export -f lint_one

printf '%s\n' "$@" | grep '\.cc$' |
  xargs -P "$(nproc)" -I{} bash -c 'lint_one {}'
