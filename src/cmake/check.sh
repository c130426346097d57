#!/usr/bin/env bash
# The test command of the README: checks format and include layers, builds,
# lints and runs the tests. The result is the same on every run.
set -euo pipefail
cd "$(dirname "$0")/../.."

mapfile -t sources < <(git ls-files 'src/*.cc' 'src/*.h' 'testsuite/*.cc' \
  'testsuite/*.h' 'platform/*.cc' 'platform/*.h' | grep -v gen-cpp)

echo "== format"
clang-format --dry-run --Werror "${sources[@]}"

bash src/cmake/check_layers.sh

echo "== build"
cmake --preset release >/dev/null
cmake --build --preset release

echo "== lint"
bash src/cmake/lint.sh "${sources[@]}"

echo "== tests"
excluded=""
if [ -s KNOWN-RED.txt ]; then
  echo "excluded as known red (KNOWN-RED.txt):"
  cat KNOWN-RED.txt
  excluded=$(cut -d: -f1 KNOWN-RED.txt | paste -sd'|')
fi
ctest --test-dir build --output-on-failure -j 4 ${excluded:+-E "^($excluded)$"}
