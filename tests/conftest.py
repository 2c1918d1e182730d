"""Fixtures of the integration tests."""

import anyio
import pytest

from fireflydeck.testing.fleet import running_fleet
from fireflydeck.testing.sheets import build_sheet


@pytest.fixture
def run_with_fleet(tmp_path):
    """Function that runs an async scenario with a fleet of real processes, for at most 60 s."""

    def run(scenario, sheet=None, entry_vms=2):
        async def main():
            async with running_fleet(tmp_path, sheet or build_sheet(), entry_vms) as fleet:
                with anyio.fail_after(60):
                    await scenario(fleet)

        anyio.run(main)

    return run
