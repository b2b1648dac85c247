#!/bin/sh
# Puts the libraries and our own packages under target/deps, byte-compiled: the root is read-only later.
set -eu
deps=target/deps
if [ ! -f "$deps/.libraries" ] || [ deploy/requirements.txt -nt "$deps/.libraries" ] || [ constraints.txt -nt "$deps/.libraries" ]; then
  rm -rf "$deps"
  python3 -m pip install --quiet --no-warn-script-location --target "$deps" -c constraints.txt -r deploy/requirements.txt
  touch "$deps/.libraries"
fi
for package in packages/core/calicopath_core packages/clients/calicopath_clients packages/daemon/calicopathd platform/calicopath_platform; do
  rm -rf "$deps/${package##*/}"
  cp -R "$package" "$deps/"
done
find "$deps/calicopath_core" "$deps/calicopath_clients" "$deps/calicopathd" "$deps/calicopath_platform" -name tests -type d -prune -exec rm -rf {} +
python3 -m compileall -q "$deps" || true
