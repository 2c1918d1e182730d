#!/bin/sh
# Checks the stand-ins of cases 6 to 10. They are Python and need only what the build of the deploy
# file installs, so that nothing is built.
cd "$(dirname "$0")/.." || exit 1
PYTHONPATH=target/deps:.:review PYTHONDONTWRITEBYTECODE=1 exec python3 -c "import small_site"
