"""What a parser gets of the bytes of a client, in which pieces."""

import pytest

from ryelatch_node.clients._splitting import RequestSplitter

_HEAD = b'GET /x HTTP/1.1\r\nA: b\r\n\r\n'


def _take_all(splitter: RequestSplitter) -> list[bytes]:
    pieces = []
    while splitter.unread:
        pieces.append(splitter.take())
    return pieces


def test_each_request_is_a_piece() -> None:
    """One read makes objects of hundreds of requests at once."""
    splitter = RequestSplitter()
    splitter.unread = _HEAD * 3
    assert _take_all(splitter) == [_HEAD] * 3


@pytest.mark.parametrize('cut', range(1, 2 * len(_HEAD)))
def test_end_of_a_head_is_found_across_reads(cut: int) -> None:
    """A head whose end is cut in two is counted with the one behind it."""
    splitter = RequestSplitter()
    pieces = []
    for part in ((_HEAD * 3)[:cut], (_HEAD * 3)[cut:]):
        splitter.unread += part
        while splitter.unread:
            piece = splitter.take()
            pieces.append(piece)
            splitter.has_begun = not b''.join(pieces).endswith(b'\r\n\r\n')
            assert splitter.head_bytes <= len(_HEAD)
            if not splitter.has_begun:
                splitter.end_head(0)
                splitter.end()
    assert b''.join(pieces) == _HEAD * 3


def test_body_is_no_head() -> None:
    """Empty lines in a body split it, or count as a part of a header."""
    splitter = RequestSplitter()
    body = b'\r\n\r\n' * 10
    splitter.unread = _HEAD
    splitter.begin()
    assert splitter.take() == _HEAD
    splitter.end_head(len(body))
    splitter.unread = body + _HEAD
    assert splitter.take() == body
    splitter.count_body(len(body))
    splitter.end()
    assert splitter.take() == _HEAD


def test_empty_lines_are_counted_and_skipped() -> None:
    """Lines before a request have no end, or take a timer away."""
    splitter = RequestSplitter()
    for _ in range(10):
        splitter.unread = b'\r\n' * 100
        assert not splitter.take()
    assert splitter.is_excessive(0, 1999)
    assert not splitter.is_excessive(0, 2000)


def test_request_line_and_lines_have_a_limit_each() -> None:
    """A path at the limit is refused for the lines behind it."""
    splitter = RequestSplitter()
    splitter.begin()
    splitter.unread = b'x' * 1500
    splitter.take()
    assert not splitter.is_excessive(900, 1000)
    assert splitter.is_excessive(400, 1000)
    assert splitter.is_excessive(1100, 1000)


def test_framing_of_a_body_is_bounded() -> None:
    """Chunk extensions and trailers have no end."""
    splitter = RequestSplitter()
    splitter.begin()
    splitter.end_head(0)
    for _ in range(10):
        splitter.unread = b'x' * 60
        splitter.take()
        splitter.count_body(1)
    assert not splitter.is_excessive(0, 100)
    for _ in range(2):
        splitter.unread = b'x' * 60
        splitter.take()
        splitter.count_body(0)
    assert splitter.is_excessive(0, 100)
