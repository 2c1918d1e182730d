# Creates the virtual environment from the lock file; sourced by the other scripts.
# Sets `python` to the environment's interpreter.
set -euo pipefail
root=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
environment=${VENV_DIRECTORY:-$root/.venv}
lock_digest=$(sha256sum "$root/requirements.lock" | cut -d' ' -f1)
if [ "$(cat "$environment/.lock-digest" 2>/dev/null || true)" != "$lock_digest" ]; then
    echo "preparing the virtual environment (first call only)"
    python3 -m venv --clear "$environment"
    "$environment/bin/python" -m pip install --quiet --disable-pip-version-check \
        --require-hashes -r "$root/requirements.lock"
    echo "$lock_digest" >"$environment/.lock-digest"
fi
python=$environment/bin/python
export PYTHONPATH=$root
export PYTHONDONTWRITEBYTECODE=1
