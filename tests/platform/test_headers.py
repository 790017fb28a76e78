"""Metadata of answers, parsed from their headers."""

import math

import pytest

from fleet.running import ask, make_non_model_replicas, run_node
from ryelatch_node.ports import MAX_PARTS
from ryelatch_node.reservations._frames import MAX_COUNT
from ryelatch_platform._headers import read_answer, read_request


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


@pytest.mark.parametrize(
    ('text', 'parts'),
    [
        (b'5c1e:800,91bd:410,e440:250', ('5c1e', '91bd')),
        (b'e440:250', ()),
        (b'', ()),
        (b'5C1E:800, 91bd ,e440:250', ('5c1e', '91bd')),
        (b'5c1e:1,5c1e:2,91bd:3,e440:4', ('5c1e', '91bd')),
        (b'xyz:1,:2,,5c1e,91bd:x', ('5c1e',)),
        (b'%s:1,91bd:2,e440:3' % bytes(40).hex().encode(), ('91bd',)),
    ],
)
def test_shared_parts_are_read(text: bytes, parts: tuple[str, ...]) -> None:
    """The part of the request alone, or nonsense, is taken for a shared one."""
    terms = read_request([(b'x-ryelatch-prefix-hash', text)])
    assert terms.parts == parts


def test_shared_parts_are_bounded() -> None:
    """A client sends thousands of parts with each request."""
    text = ','.join(f'{number:x}:1' for number in range(5000)).encode()
    terms = read_request([(b'x-ryelatch-prefix-hash', text)])
    assert len(terms.parts) == MAX_PARTS


@pytest.mark.parametrize(
    'name',
    [
        b'x-ryelatch-deadline-ms',
        b'x-ryelatch-token-usage',
        b'x-ryelatch-length-hint',
        b'last-event-id',
    ],
)
@pytest.mark.parametrize('digits', [400, 5000])
def test_overlong_number_is_missing(name: bytes, digits: int) -> None:
    """A number of any length ends the request with an unhandled error."""
    sent = read_request([(name, b'9' * digits)])
    assert sent == read_request([])


def test_number_with_leading_zeros_is_read() -> None:
    """The length of a number is taken for its size."""
    sent = read_request(
        [(b'x-ryelatch-deadline-ms', b'1500'.rjust(5000, b'0'))]
    )
    assert sent.deadline == pytest.approx(1.5)


def test_tokens_fit_the_messages_of_nodes() -> None:
    """One request breaks off the session for all requests of its node.

    The controller of a zone takes a number of tokens above its maximum for a
    malformed message.
    """
    usage = b'9' * 18
    sent = read_request(
        [(b'x-ryelatch-token-usage', b'%s,%s' % (usage, usage))]
    )
    assert 0 < sent.prompt + sent.answer <= MAX_COUNT


async def test_overlong_deadline_is_no_server_error() -> None:
    """A request with an overlong deadline ends with status 500."""
    async with run_node(make_non_model_replicas(1)) as node:
        status, _, _ = await ask(
            node, '/ping/x', X_Ryelatch_Deadline_Ms='9' * 5000
        )
        assert status == 200
