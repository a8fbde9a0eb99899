#!/bin/sh
# Puts the daemon and what it needs under target/deps. Libraries are installed
# anew only when a package's requirements changed; our own modules always.
set -eu
stamp=target/deps/.installed
for file in packages/radishstack/pyproject.toml packages/radishd/pyproject.toml; do
  if [ ! -e "$stamp" ] || [ "$file" -nt "$stamp" ]; then
    python3 -m pip install -q --disable-pip-version-check \
      --root-user-action=ignore -U --target target/deps \
      packages/radishstack packages/radishd
    touch "$stamp"
  fi
done
for package in radishstack radishd; do
  rm -rf "target/deps/$package"
  cp -r "packages/$package/src/$package" target/deps/
  # Compiled here once: a process cannot keep what it compiles, and each start
  # would take that time again.
  python3 -m compileall -q "target/deps/$package"
done
