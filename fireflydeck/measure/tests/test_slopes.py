"""Tests of line fits, process usage, and sheets and configurations of given sizes."""

import pytest

from fireflydeck.core import Vm
from fireflydeck.measure.decision import build_fleet_configuration
from fireflydeck.measure.fleet_sheet import FleetSize, build_fleet_sheet
from fireflydeck.measure.process_usage import parse_usage
from fireflydeck.measure.slopes import fit_line


def test_fit_line_finds_an_exact_line():
    line = fit_line([(1, 5), (2, 7), (4, 11)])
    assert (line.base, line.slope) == pytest.approx((3, 2))


def test_fit_line_minimises_the_squares():
    line = fit_line([(0, 0), (1, 3), (2, 0)])
    assert (line.base, line.slope) == pytest.approx((1, 0))


def test_fit_line_refuses_a_single_x():
    with pytest.raises(ValueError, match="at least two different x values"):
        fit_line([(1, 5), (1, 6)])


def test_parse_usage_with_spaces_and_brackets_in_the_name():
    stat = "7 (a ) b) S " + " ".join(["0"] * 10) + " 150 50 0 0"
    usage = parse_usage(stat, "Name:\ta\nVmRSS:\t   2048 kB\n")
    assert usage.processor_s == pytest.approx(2.0)
    assert usage.resident_mb == 2


def test_build_fleet_sheet_has_the_targets_numbers():
    lines = build_fleet_sheet(FleetSize.of_target(1)).splitlines()
    kinds = [line.split(",")[0] for line in lines]
    assert (kinds.count("vm"), kinds.count("pool"), kinds.count("organisation")) == (1100, 176, 76)
    assert sum(int(line.rsplit(",", 1)[1]) for line in lines if line.startswith("vm,")) == 1400


def test_build_fleet_configuration_has_the_size():
    size = FleetSize.of_target(0.25)
    assert len(list(build_fleet_configuration(size).all(Vm))) == size.vms
