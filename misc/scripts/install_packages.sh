#!/usr/bin/env bash
# Installs the Debian packages that the build, the checks and the tests need. Does nothing if all are installed.
set -euo pipefail

packages=(g++ cmake ninja-build pkg-config ccache clang-format clang-tidy curl
  libh2o-dev libuv1-dev libwslay-dev libssl-dev zlib1g-dev libcapnp-dev capnproto libpq-dev libgflags-dev
  libeasyloggingpp-dev libexpected-dev libboost-dev libpugixml-dev libyaml-cpp-dev tao-pegtl-dev nlohmann-json3-dev
  libcppunit-dev librapidcheck-dev)

missing=()
for package in "${packages[@]}"; do
  if ! dpkg-query -W -f '${Status}' "$package" 2>/dev/null | grep -q 'install ok installed'; then
    missing+=("$package")
  fi
done
if [ "${#missing[@]}" -eq 0 ]; then
  exit 0
fi
echo "installing: ${missing[*]}"
export DEBIAN_FRONTEND=noninteractive
apt-get update -qq
apt-get install -y -qq --no-install-recommends "${missing[@]}" >/dev/null
