#!/usr/bin/env bash
# Builds the stand-ins of the cases 4 and up: they need the standard library of
# Python only, so that this compiles them. Needs no network.
set -e
cd "$(dirname "$0")"
for folder in standins-2 4 5 6; do
  if [ -d "$folder" ]; then
    python3 -m compileall -q -o 0 "$folder" -f
    rm -rf "$folder/__pycache__"
  fi
done
