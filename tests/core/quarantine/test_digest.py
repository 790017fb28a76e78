"""Digests of requests by content."""

import pytest

from ryelatch_core.quarantine import digest_request

_REQUEST = ('city.example', 'POST', '/plan/x', 'ward-1', b'question')


def test_same_request_has_the_same_digest() -> None:
    assert digest_request(*_REQUEST) == digest_request(*_REQUEST)


@pytest.mark.parametrize(
    'other',
    [
        ('town.example', 'POST', '/plan/x', 'ward-1', b'question'),
        ('city.example', 'PUT', '/plan/x', 'ward-1', b'question'),
        ('city.example', 'POST', '/plan/x?a', 'ward-1', b'question'),
        ('city.example', 'POST', '/plan/x', 'ward-2', b'question'),
        ('city.example', 'POST', '/plan/x', 'ward-1', b'questions'),
        ('city.example', 'POST', '/plan/', 'xward-1', b'question'),
    ],
)
def test_other_requests_have_other_digests(
    other: tuple[str, str, str, str, bytes],
) -> None:
    assert digest_request(*other) != digest_request(*_REQUEST)
