#!/usr/bin/env bash
# Regenerates src/libwire/gen-cpp after a change to the IDL. The result is
# committed, so that a build needs no Thrift compiler.
set -euo pipefail
cd "$(dirname "$0")/../libwire"
rm -rf gen-cpp
thrift --gen cpp:no_skeleton,moveable_types amaranth.thrift
