#!/usr/bin/env bash
# The set-up command of the README: installs the Debian packages (needs root)
# and builds everything into build/.
set -euo pipefail
cd "$(dirname "$0")/../.."
bash src/cmake/install_packages.sh
cmake --preset release
cmake --build --preset release
