#!/bin/sh
# Puts the stand-ins of the second review under target/review-2. They need
# nothing but Python's own library.
set -eu
cd "$(dirname "$0")/.."
rm -rf target/review-2
mkdir -p target/review-2
cp -r review/second target/review-2/second
python3 -m compileall -q target/review-2/second
