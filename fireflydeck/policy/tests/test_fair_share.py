"""Load: organisations together ask for more than a pool can do, and one of them for most of it."""

from hypothesis import given, settings
from hypothesis import strategies as st

from fireflydeck.policy.fair_share import ShareClaim, divide_fairly, is_within_share

_claims = st.dictionaries(
    st.sampled_from("abcdef"),
    st.builds(ShareClaim, weight=st.floats(0.1, 100), demand=st.floats(0, 1000)),
    min_size=1,
)


def _claim(demand, weight=1):
    return ShareClaim(weight=weight, demand=demand)


@given(capacity=st.floats(0, 2000), claims=_claims)
@settings(derandomize=True, database=None)
def test_division_is_max_min_fair(capacity, claims):
    """Nobody gets more than it asks for, nothing is left over, and the rest is shared by weight."""
    shares = divide_fairly(capacity, claims)
    demand = sum(claim.demand for claim in claims.values())
    assert abs(sum(shares.values()) - min(capacity, demand)) < 1e-6
    unmet = [name for name in claims if shares[name] < claims[name].demand - 1e-6]
    for name in unmet:
        per_weight = shares[name] / claims[name].weight
        for other in claims:
            assert shares[other] / claims[other].weight <= per_weight + 1e-6


def test_all_jobs_are_within_their_shares_while_the_pool_has_capacity():
    claims = {"flood": _claim(80), "small": _claim(1)}
    assert is_within_share("flood", 10, capacity=100, claims=claims)


def test_flood_leaves_the_others_their_share():
    claims = {"flood": _claim(99), "small": _claim(1)}
    assert not is_within_share("flood", 10, capacity=100, claims=claims)
    assert is_within_share("small", 10, capacity=100, claims=claims)


def test_share_of_an_organisation_without_work_is_used_by_the_others():
    claims = {"flood": _claim(95)}
    assert is_within_share("flood", 5, capacity=100, claims=claims)


def test_large_job_is_within_a_share_that_is_not_used_up():
    """A job larger than the share would otherwise wait behind every small one."""
    claims = {"flood": _claim(95), "small": _claim(10)}
    assert is_within_share("small", 300, capacity=100, claims=claims)


def test_weights_decide_between_two_floods():
    claims = {"heavy": _claim(60, weight=3), "light": _claim(40)}
    assert is_within_share("heavy", 10, capacity=100, claims=claims)
    assert not is_within_share("light", 10, capacity=100, claims=claims)
