"""Answers by an older configuration than one that was shown are found; overlapping ones are not."""

import pytest

from fireflydeck.soak.configuration_probes import QueueProbe, check_configurations


def _probe(version, status, sent_ms, *, entry="m1", newest_version=9):
    return QueueProbe(entry, version, status, sent_ms, sent_ms + 10, newest_version)


_SHOWN = _probe(6, 200, 100)


@pytest.mark.parametrize(
    "probe",
    [_probe(5, 200, 120), _probe(6, 404, 120, newest_version=6)],
    ids=["older version", "shown version not there"],
)
def test_answer_by_an_older_configuration_is_found(probe):
    found = check_configurations([_SHOWN, probe])
    assert [violation.promise for violation in found] == ["configuration does not go back"]


@pytest.mark.parametrize(
    "probe",
    [
        _probe(5, 200, 105),
        _probe(5, 200, 120, entry="m2"),
        _probe(6, 404, 120),
        _probe(7, 404, 120),
        _probe(5, 404, 120),
        _probe(7, 200, 120),
    ],
    ids=["overlapping", "other process", "newer in force", "not yet there", "removed", "newer"],
)
def test_allowed_answer_is_no_regression(probe):
    assert check_configurations([_SHOWN, probe]) == []
