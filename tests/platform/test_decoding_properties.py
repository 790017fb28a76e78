"""Any bytes and any JSON, for each decoder of the platform's formats.

``DECODING_EXAMPLES`` sets the number of inputs of each property.
"""

import contextlib
import json
import os
from typing import Any

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from ryelatch_core.streams import EventSplitter, StreamError
from ryelatch_platform._census import NodeSpec
from ryelatch_platform._decoding import (
    DecodingError,
    decode,
    split_items,
    split_members,
)
from ryelatch_platform._engines import _decode_report, _read_fault
from ryelatch_platform._headers import read_answer, read_request
from ryelatch_platform._leases import translate_lease
from ryelatch_platform._quarantine import translate_case
from ryelatch_platform._responses import (
    decode_changes,
    decode_object,
    decode_page,
)
from ryelatch_platform._translate import (
    translate_configuration,
    translate_replica,
)

_EXAMPLES = int(os.environ.get('DECODING_EXAMPLES', '60'))
_play = settings(
    max_examples=_EXAMPLES,
    deadline=None,
    derandomize='DECODING_EXAMPLES' not in os.environ,
    suppress_health_check=list(HealthCheck),
)

_FIELDS = st.sampled_from(
    [
        *('service', 'addr', 'zone', 'state', 'slots', 'version', 'seq'),
        *('born', 'layers', 'from', 'to', 'holder', 'fence', 'after', 'at'),
        *('begun', 'waiting', 'events', 'trials', 'peers', 'metadata', 'name'),
        *('routes', 'services', 'tenants', 'limits', 'stalled', 'entries'),
    ]
)
_TEXT = st.text(st.characters(exclude_categories=()), max_size=400)
_JSON = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.integers(0, 400).map(lambda digits: 10**digits)
    | st.floats()
    | st.sampled_from(['10.0.0.1:70000', '10.0.0.1:80', 'ready'])
    | _TEXT,
    lambda inner: (
        st.lists(inner, max_size=4)
        | st.dictionaries(_FIELDS | _TEXT, inner, max_size=6)
    ),
    max_leaves=12,
).map(lambda content: json.dumps(content).encode())
_DEEP = st.integers(1, 5000).map(lambda depth: b'[' * depth + b']' * depth)
_SPOILED = st.binary(max_size=20).map(
    lambda content: b'"%s"' % content.replace(b'"', b'').replace(b'\\', b'')
)
_REPEATED = _JSON.map(lambda content: b'{"spec":%s,"spec":1}' % content)
_VALUE = _JSON | _DEEP | _SPOILED | _REPEATED
_ANY = st.binary(max_size=300) | _VALUE

_SOUND = b'{"metadata":{"name":"i-1","revision":7},"spec":{"slots":1}}'


def _wrap(content: bytes) -> bytes:
    return b'{"metadata":{"name":"x","revision":3},"spec":%s}' % content


@pytest.mark.parametrize(
    'read',
    [
        split_items,
        split_members,
        decode_page,
        decode_changes,
        decode_object,
        _decode_report,
        lambda content: decode(content, NodeSpec),
        lambda content: translate_lease(decode_object(_wrap(content)), 1),
        lambda content: translate_case(decode_object(_wrap(content)), 1),
        lambda content: translate_replica(decode_object(_wrap(content))),
        lambda content: translate_configuration(decode_object(_wrap(content))),
    ],
)
@_play
@given(content=_ANY)
def test_decoder_raises_only_its_own_error(read: Any, content: bytes) -> None:
    """Some input ends a task by an error that nobody handles."""
    with contextlib.suppress(DecodingError):
        read(content)


@_play
@given(_ANY)
def test_refusal_of_any_form_raises_nothing(content: bytes) -> None:
    """The body of a refusal ends the task that reads it."""
    assert isinstance(_read_fault(content), str)


@_play
@given(st.lists(_VALUE, max_size=3), st.integers(0, 3))
def test_sound_entry_is_kept_among_others(
    others: list[bytes], place: int
) -> None:
    """An entry of any form hides another one, in a list or among changes."""
    entries = [*others, *map(_wrap, others)]
    entries.insert(min(place, len(entries)), _SOUND)
    page = decode_page(b'{"entries":[%s],"at":9}' % b','.join(entries))
    assert 'i-1' in {found.metadata.name for found in page.read()}
    events = b','.join(b'{"object":%s}' % entry for entry in entries)
    changes = decode_changes(b'{"events":[%s],"at":9}' % events)
    assert _SOUND in {bytes(event.found) for event in changes.events}
    assert page.at == changes.at == 9


@_play
@given(st.lists(_JSON, max_size=4))
def test_split_items_are_those_of_the_array(items: list[bytes]) -> None:
    """An array is split at another place than between its items."""
    assert split_items(b'[ %s ]' % b' , '.join(items)) == [
        b' %s ' % item for item in items
    ]


@_play
@given(
    st.lists(
        st.tuples(
            st.sampled_from(
                [
                    *(b'x-ryelatch-deadline-ms', b'x-ryelatch-token-usage'),
                    *(b'x-ryelatch-prefix-hash', b'x-ryelatch-length-hint'),
                    *(b'server-limit', b'retry-after', b'at-server'),
                    *(b'server-leaving', b'x-ryelatch-replica-id'),
                ]
            ),
            st.binary(max_size=200)
            | st.integers(0, 5000).map(lambda digits: b'9' * digits),
        ),
        max_size=8,
    )
)
def test_headers_of_any_form_raise_nothing(
    headers: list[tuple[bytes, bytes]],
) -> None:
    """The header of a client or of a replica ends its request."""
    assert read_request(headers).prompt >= 0
    read_answer(503, headers)


@_play
@given(st.lists(st.binary(max_size=80) | st.just(b'id: 1\n\n'), max_size=8))
def test_stream_of_any_form_raises_its_own_error(pieces: list[bytes]) -> None:
    """What a replica streams ends its request by an unhandled error."""
    splitter = EventSplitter()
    with contextlib.suppress(StreamError):
        for piece in pieces:
            splitter.feed(piece)
