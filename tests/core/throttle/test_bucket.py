"""Permits of an overloaded replica that many nodes find the cheapest."""

import pytest

from ryelatch_core.throttle import TokenBucket

_SPAN_SECONDS = 4.0
_STEP_SECONDS = 0.01
_LIMITS = (0, 0.3, 0.5, 1, 1.7, 2, 4.2, 16, 300)


def _allow(limit: float) -> float:
    return 1.5 * limit * _SPAN_SECONDS + 5


def _take_all(bucket: TokenBucket, now: float) -> int:
    taken = 0
    while bucket.take(now):
        taken += 1
    return taken


def _grant(
    buckets: list[TokenBucket], seconds: float, start: float
) -> list[float]:
    """Take every available permit for some seconds.

    :returns: the times at which permits were granted.
    """
    steps = int(seconds / _STEP_SECONDS)
    moments = [start + step * _STEP_SECONDS for step in range(steps)]
    return [
        now
        for now in moments
        for bucket in buckets
        for _ in range(_take_all(bucket, now))
    ]


def _count_most(times: list[float]) -> int:
    return max(
        sum(start <= at < start + _SPAN_SECONDS for at in times)
        for start in times
    )


@pytest.mark.parametrize('limit', _LIMITS)
def test_two_limiters_stay_within_a_limit(limit: float) -> None:
    """A replica is overloaded as two nodes grant its permits at once."""
    buckets = [TokenBucket(limit, 0), TokenBucket(limit, 0)]
    times = _grant(buckets, 3 * _SPAN_SECONDS, start=60)
    assert _count_most(times) <= _allow(limit)


@pytest.mark.parametrize('limit', [1, 4.2, 16, 50])
def test_limit_is_mostly_used_up(limit: float) -> None:
    """An overloaded replica gets far fewer requests than its limit allows."""
    times = _grant([TokenBucket(limit, 0)], 20, start=0)
    assert len(times) >= 0.7 * limit * 20


@pytest.mark.parametrize('limit', [0, 0.01])
def test_smallest_limit_lets_a_request_through(limit: float) -> None:
    """A replica with a limit near zero never gets a request again."""
    assert len(_grant([TokenBucket(limit, 0)], 20, start=0)) >= 4


def test_new_limiter_has_one_permit() -> None:
    """Each node that begins to grant adds a full bucket of permits."""
    bucket = TokenBucket(4, now=100)
    assert _take_all(bucket, 100) == 1
    assert bucket.find_wait(100) == pytest.approx(1 / 3)
    assert bucket.take(100.4)


def test_falling_limit_takes_what_was_saved() -> None:
    bucket = TokenBucket(50, now=0)
    bucket.resize(0.5, 60)
    assert _take_all(bucket, 60) == 1


def test_clock_that_steps_back_grants_nothing() -> None:
    bucket = TokenBucket(1, now=100)
    assert _take_all(bucket, 50) == 1
    assert not bucket.take(100)
