#!/bin/bash
# Checks one spin model: run_model.sh MODEL.pml holds|caught [-DNAME...]
#
# "holds": the search must complete without an error; a search cut short by a
# depth or memory limit fails the check. "caught": the mutation named by -D must
# violate an assertion; a model that does not detect it proves nothing.
set -u
model=$(readlink -f "$1")
expected=$2
shift 2

folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
cd "$folder" || exit 1

spin -a "$@" "$model" || exit 1
cc -O2 -DSAFETY -DCOLLAPSE -DVECTORSZ=4096 -DMEMLIM=2048 -o pan pan.c || exit 1
./pan -m1000000 -w22 >report.txt 2>&1
grep -E "errors:|states, stored|assertion violated|max search|not complete" \
  report.txt

if grep -q "assertion violated" report.txt; then
  found=caught
elif grep -q "errors: 0" report.txt &&
  ! grep -qE "not completed|max search depth too small|out of memory" \
    report.txt; then
  found=holds
else
  found=incomplete
fi
echo "$(basename "$model") $*: $found, expected $expected"
[ "$found" = "$expected" ]
