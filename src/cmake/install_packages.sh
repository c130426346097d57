#!/usr/bin/env bash
# Installs the Debian packages that amaranthroute needs to build; needs root.
set -euo pipefail
packages=(
  g++ cmake ninja-build ccache clang clang-format clang-tidy libclang-rt-14-dev
  librestinio-dev libasio-dev libhttp-parser-dev libfmt-dev
  libthrift-dev thrift-compiler libboost-dev libcpputest-dev librapidcheck-dev
  libcxxopts-dev libspdlog-dev libcurl4-openssl-dev nlohmann-json3-dev
  libxxhash-dev libssl-dev libmimalloc-dev spin gnuplot-nox python3
)
missing=()
for package in "${packages[@]}"; do
  dpkg-query -W -f='${Status}' "$package" 2>/dev/null |
    grep -q 'install ok installed' || missing+=("$package")
done
if [ ${#missing[@]} -eq 0 ]; then
  echo "packages: all present"
  exit 0
fi
apt-get update -qq
DEBIAN_FRONTEND=noninteractive apt-get install -y -qq --no-install-recommends \
  "${missing[@]}"
