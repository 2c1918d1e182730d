"""Adaptive timeouts for peers with low latency, with rising latency and with lost answers."""

from fireflydeck.core.call_timeout import CallTimeout


def _timeout(*answers_ms):
    timeout = CallTimeout(250, 1200)
    for took_ms in answers_ms:
        timeout.record_answer(took_ms)
    return timeout


def test_timeout_without_any_answer_is_the_maximum():
    assert _timeout().timeout_ms == 1200


def test_timeout_for_a_quick_peer_stays_short_after_a_lost_answer():
    timeout = _timeout(10, 12, 9)
    assert timeout.timeout_ms == 250
    timeout.record_timeout()
    timeout.record_answer(11)
    assert timeout.timeout_ms == 250


def test_timeout_grows_when_a_peer_becomes_slow():
    timeout = _timeout(10)
    for _ in range(3):
        timeout.record_timeout()
    assert timeout.timeout_ms == 1200
    timeout.record_answer(300)
    assert timeout.timeout_ms == 1200


def test_timeout_shrinks_when_a_peer_is_quick_again():
    timeout = _timeout(10, 300, *[10] * 20)
    assert timeout.timeout_ms == 250
