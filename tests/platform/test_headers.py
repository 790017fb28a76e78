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
def test_nonsense_is_told_apart_from_no_limit(text: bytes) -> None:
    """A limit that can't be read is taken for the end of one."""
    limit = read_answer(200, [(b'server-limit', text)]).limit
    assert limit is not None
    assert math.isnan(limit)
