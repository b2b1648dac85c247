#!/bin/sh
# Puts the libraries and our own packages under target/deps, byte-compiled: the root is read-only later.
# What has not changed is left alone, and what has is renamed into place: processes may be starting.
set -eu
deps=target/deps
if [ ! -f "$deps/.libraries" ] || [ deploy/requirements.txt -nt "$deps/.libraries" ] || [ constraints.txt -nt "$deps/.libraries" ]; then
  rm -rf "$deps"
  python3 -m pip install --quiet --no-warn-script-location --target "$deps" -c constraints.txt -r deploy/requirements.txt
  touch "$deps/.libraries"
fi
packages='packages/core/calicopath_core packages/clients/calicopath_clients packages/daemon/calicopathd platform/calicopath_platform'
# shellcheck disable=SC2086 -- a list of folders
sources=$(find $packages -name tests -prune -o -name __pycache__ -prune -o -type f -print | LC_ALL=C sort | xargs sha256sum)
if [ -f "$deps/.sources" ] && [ "$sources" = "$(cat "$deps/.sources")" ]; then
  exit 0
fi
staging=target/staging
rm -rf "$staging"
mkdir -p "$staging/old"
for package in $packages; do
  cp -R "$package" "$staging/"
done
find "$staging" \( -name tests -o -name __pycache__ \) -type d -prune -exec rm -rf {} +
python3 -m compileall -q -s "$staging" -p "$deps" "$staging" || true
for package in $packages; do
  name=${package##*/}
  if [ -d "$deps/$name" ]; then mv "$deps/$name" "$staging/old/"; fi
  mv "$staging/$name" "$deps/"
done
rm -rf "$staging"
echo "$sources" > "$deps/.sources"
python3 -m compileall -q "$deps" || true
