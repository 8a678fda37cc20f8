#!/bin/sh
# Builds the stand-ins that the scripts start: plain Python that is compiled once.
cd "$(dirname "$0")/.." || exit 1
exec python3 -m compileall -q review
