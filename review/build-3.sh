#!/bin/sh
# Builds the stand-ins of the third review. They are Python without dependencies beyond
# the pinned ones, so that it is enough to compile them, and those of the project.
set -e
cd "$(dirname "$0")/.."
exec python3 -m compileall -q review/common-3 standins/edge_program.py \
  standins/platform_template.py standins/users_platform.py
