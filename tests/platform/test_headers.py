"""Metadata of answers, parsed from their headers."""

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
    """A limit that can't be parsed is taken for the end of a limit."""
    limit = read_answer(200, [(b'server-limit', text)]).limit
    assert limit is not None
    assert math.isnan(limit)


@pytest.mark.parametrize(
    ('status', 'text', 'backoff'),
    [(503, b'3', 3), (503, b'0.25', 0.25), (429, b'1', 1), (503, b'0', 0)],
)
def test_backoff_is_read(status: int, text: bytes, backoff: float) -> None:
    assert read_answer(status, [(b'retry-after', text)]).backoff == backoff


def test_only_refusals_request_a_backoff() -> None:
    """An answer of the replica's application puts the replica into backoff."""
    assert read_answer(200, [(b'retry-after', b'3')]).backoff is None
    assert read_answer(500, [(b'retry-after', b'3')]).backoff is None


@pytest.mark.parametrize(
    'text', [b'-3', b'soon', b'Thu, 03 Dec 2026 10:00:00 GMT', b'inf', b'']
)
def test_unreadable_backoff_is_distinguished(text: bytes) -> None:
    """A backoff that can't be parsed is ignored without a log line."""
    backoff = read_answer(503, [(b'retry-after', text)]).backoff
    assert backoff is not None
    assert math.isnan(backoff)
