"""Flags of the entry command."""

import sys

import pytest

from fireflydeck.cli.main import main


@pytest.mark.parametrize("value", ["-1", "many", "1.5", "True"])
def test_bad_number_of_reservations_ends_the_process(monkeypatch, capsys, value):
    """A wrong value must not silently switch reservations on or off."""
    monkeypatch.setattr(
        sys, "argv", ["fireflydeck", "entry", "--metrics_port=1", f"--reservations={value}"]
    )
    with pytest.raises(SystemExit) as caught:
        main()
    assert caught.value.code == 2
    assert "--reservations" in capsys.readouterr().err
