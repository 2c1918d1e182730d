"""Failure: hand-overs to a larger VM fail, and the lease comes back to the small one each time."""

from fireflydeck.ownership.larger_vm_search import LargerVmSearch


def test_pause_doubles_from_search_to_search():
    search = LargerVmSearch()
    search.restart(100_000)
    assert not search.begin_if_due(100_999)
    assert search.begin_if_due(101_000)
    assert not search.begin_if_due(102_999)
    assert search.begin_if_due(103_000)


def test_lease_that_comes_back_does_not_shorten_the_pause():
    search = LargerVmSearch()
    search.restart(100_000)
    assert search.begin_if_due(101_000)
    search.restart(101_500)
    assert not search.begin_if_due(103_000)
    assert search.begin_if_due(103_500)


def test_later_tenure_searches_soon_again():
    search = LargerVmSearch()
    search.restart(100_000)
    assert search.begin_if_due(101_000)
    search.restart(200_000)
    assert search.begin_if_due(201_000)
