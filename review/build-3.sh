#!/usr/bin/env bash
# Builds what the scripts of the cases 11 to 15 start: the dependencies of the deploy file, which the
# project's stand-ins use as well, and the byte code of the stand-ins. It needs no network after the
# build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
build=$(python3 -c 'import tomllib; print(tomllib.load(open("deploy/system.toml", "rb"))["build"])')
sh -c "$build"
PYTHONPATH="$PWD:$PWD/target/deps" python3 -m compileall -q review/*.py review/1[1-5] \
    fireflydeck/standins fireflydeck/platform/standin
