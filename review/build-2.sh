#!/bin/sh
# Builds the stand-ins of the second review. They are Python without dependencies, so
# that it is enough to compile them.
set -e
cd "$(dirname "$0")/.."
exec python3 -m compileall -q review/common-2 standins/platform_template.py
