#!/usr/bin/env bash
# Checks that the cases and the stand-ins that they start can run after the build of the deploy
# file. They are Python, so there is nothing else to build.
cd "$(dirname "$0")/.." || exit 2
PYTHONPATH="target/deps:." python3 -m compileall -q review fireflydeck/standins \
    fireflydeck/platform && PYTHONPATH="target/deps:." python3 -c "import review.harness"
