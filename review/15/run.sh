#!/bin/sh
# Plays the case; see claim.txt. TROUBLE=0 plays it without the disruption.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
PYTHONPATH="$here/../..:$here/../../target/deps:$here/../common-3"
export PYTHONPATH
python3 -c 'import world' || exit 2
exec python3 "$here/case.py"
