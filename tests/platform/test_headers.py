"""Terms of answers, read from headers."""

import math

import pytest

from ryelatch_platform._headers import read_answer


@pytest.mark.parametrize(
    ('text', 'limit'), [(b'4.2', 4.2), (b'0', 0), (b' 12 ', 12), (b'7.', 7)]
)
def test_limit_is_read(text: bytes, limit: float) -> None:
    assert read_answer(200, [(b'server-limit', text)]).limit == limit


def test_no_limit_is_none() -> None:
    assert read_answer(200, []).limit is None


@pytest.mark.parametrize(
    'text', [b'', b'many', b'-1', b'inf', b'nan', b'1e9', b'4,2', b'9' * 400]
)
def test_unreadable_limit_is_distinguished(text: bytes) -> None:
    """A limit that can't be read is taken for the end of one."""
    limit = read_answer(200, [(b'server-limit', text)]).limit
    assert limit is not None
    assert math.isnan(limit)


@pytest.mark.parametrize(
    ('status', 'text', 'rest'),
    [(503, b'3', 3), (503, b'0.25', 0.25), (429, b'1', 1), (503, b'0', 0)],
)
def test_backoff_is_read(status: int, text: bytes, rest: float) -> None:
    assert read_answer(status, [(b'retry-after', text)]).backoff == rest


def test_only_refusals_request_a_backoff() -> None:
    """A replica's own answer that names a time keeps a node from it."""
    assert read_answer(200, [(b'retry-after', b'3')]).backoff is None
    assert read_answer(500, [(b'retry-after', b'3')]).backoff is None


@pytest.mark.parametrize(
    'text', [b'-3', b'soon', b'Thu, 03 Dec 2026 10:00:00 GMT', b'inf', b'']
)
def test_unreadable_backoff_is_distinguished(text: bytes) -> None:
    """A time that can't be read is passed over without a line."""
    rest = read_answer(503, [(b'retry-after', text)]).backoff
    assert rest is not None
    assert math.isnan(rest)
