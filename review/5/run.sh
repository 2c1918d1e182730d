#!/usr/bin/env bash
# Runs the case: exit code 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
export TROUBLE="${TROUBLE:-1}" # 0: without the disruption
export PYTHONPATH="target/deps:."
python3 -c "import review.harness" || exit 2
exec python3 review/5/case.py
