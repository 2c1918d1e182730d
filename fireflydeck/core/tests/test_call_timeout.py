"""Adaptive timeouts for peers with low latency, with rising latency and with lost answers."""

from fireflydeck.core.call_timeout import CallTimeout


def _timeout(*answers_ms):
    timeout = CallTimeout(250, 1200)
    for took_ms in answers_ms:
        timeout.record_answer(took_ms)
    return timeout


def test_unknown_peer_gets_the_longest_time():
    assert _timeout().timeout_ms == 1200


def test_lost_answer_of_a_quick_peer_is_noticed_soon():
    timeout = _timeout(10, 12, 9)
    assert timeout.timeout_ms == 250
    timeout.record_timeout()
    timeout.record_answer(11)
    assert timeout.timeout_ms == 250


def test_peer_that_turns_slow_is_waited_for():
    timeout = _timeout(10)
    for _ in range(3):
        timeout.record_timeout()
    assert timeout.timeout_ms == 1200
    timeout.record_answer(300)
    assert timeout.timeout_ms == 1200


def test_peer_that_is_quick_again():
    timeout = _timeout(10, 300, *[10] * 20)
    assert timeout.timeout_ms == 250
