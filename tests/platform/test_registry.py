"""Registry entries that are invalid or were not written by replicas."""

import asyncio
import json
from typing import Any

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from fleet.running import (
    ask,
    make_event_stream,
    make_model_replicas,
    make_non_model_replicas,
    run_node,
    wait_until,
)
from ryelatch_core.eras import StoreRevision
from ryelatch_core.events import LineLog
from ryelatch_core.kernel import BootClock, Hub
from ryelatch_core.membership import NEVER, compute_departure_bounds
from ryelatch_node.peer_sync import Change, StoreUpdate
from ryelatch_node.views import ReplicaView
from ryelatch_platform._list import read_changes
from ryelatch_platform._registry import ReplicaRegistry
from ryelatch_platform._responses import (
    Changes,
    Page,
    StoredObject,
)

_ENTRY = {
    'service': 'model',
    'addr': '10.0.0.1:8502',
    'zone': 'zone-a',
    'version': 'v1',
    'slots': 96,
    'state': 'ready',
    'seq': 4,
    'coldRemainingMs': 0,
    'born': 1_786_687_034_042,
    'routeKind': 'big',
    'layers': {'from': 0, 'to': 8, 'version': 1},
}
_JSON = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats(allow_nan=False, allow_infinity=False)
    | st.text(),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
    max_leaves=5,
)


def _make_registry() -> tuple[ReplicaRegistry, ReplicaView, list[Any]]:
    lines: list[Any] = []

    def write(line: bytes) -> int:
        lines.append(json.loads(line))
        return len(line)

    clock = BootClock()
    log = LineLog('node-a', clock, write)
    view = ReplicaView(log, clock, Hub(), compute_departure_bounds(2, 3))
    return ReplicaRegistry(log, view), view, lines


def _make_object(name: str, spec: Any) -> dict[str, Any]:
    return {'metadata': {'name': name, 'revision': 3}, 'spec': spec}


def _read_page(*entries: Any) -> list[StoredObject]:
    raw = json.dumps({'entries': entries, 'at': 9}).encode()
    return msgspec.json.decode(raw, type=Page).read()


@pytest.mark.parametrize(
    'changes',
    [
        {'service': 5},
        {'service': ''},
        {'addr': 'nowhere'},
        {'addr': None},
        {'addr': '10.0.0.9:0'},
        {'addr': '10.0.0.9:65536'},
        {'addr': '10.0.0.9:99999'},
        {'addr': '10.0.0.9:80\n'},
        {'addr': '10..9:80'},
        {'addr': f'{"a" * 64}.example:80'},
        {'addr': f'{"a." * 150}example:80'},
        {'zone': 7},
        {'slots': 0},
        {'slots': '96'},
        {'state': 'resting'},
        {'seq': True},
        {'seq': 1.5},
        {'seq': -1},
        {'born': True},
        {'born': 1.5},
        {'born': 'today'},
        {'born': -1},
        {'born': 10**30},
        {'layers': {'from': 'a', 'to': 8}},
        {'layers': {'from': -3, 'to': 8}},
        {'layers': 'all'},
    ],
)
def test_entry_of_other_types_names_no_replica(changes: Any) -> None:
    """An entry with wrong types is used, or hides a valid one."""
    registry, view, lines = _make_registry()
    bad = _make_object('i-9', {**_ENTRY, 'addr': '10.0.0.9:1', **changes})
    registry.replace(
        _read_page(bad, _make_object('i-1', _ENTRY)), unanswered=NEVER
    )
    assert [replica.entry for replica in view.replicas.values()] == ['i-1']
    refused = [line for line in lines if line['name'] == 'entry-refused']
    assert len(refused) == 1
    assert view.refused == 1


@pytest.mark.parametrize('missing', sorted(set(_ENTRY) - {'born'}))
def test_entry_without_a_field_names_no_replica(missing: str) -> None:
    """An incomplete copy of an entry displaces the valid entry.

    Taken for a restarted replica at the same address, the copy would mark the
    valid one as crashed. A copy without the kind of accelerator counts as
    another kind of replica, which no path uses.
    """
    registry, view, _ = _make_registry()
    incomplete = {
        name: value for name, value in _ENTRY.items() if name != missing
    }
    registry.replace(
        _read_page(
            _make_object('i-1', _ENTRY), _make_object('i-9', incomplete)
        ),
        unanswered=NEVER,
    )
    assert any(replica.entry == 'i-1' for replica in view.replicas.values())
    assert not any(
        replica.entry == 'i-9' and replica.accelerator
        for replica in view.replicas.values()
    )


def test_refused_entry_is_told_once() -> None:
    """A foreign entry that is written often logs a line each time."""
    registry, view, lines = _make_registry()
    found = _read_page(_make_object('i-9', {'service': 1}))[0]
    for _ in range(50):
        registry.put(found)
    assert sum(line['name'] == 'entry-refused' for line in lines) == 1
    registry.remove('i-9', unanswered=NEVER)
    assert view.refused == 0


def test_spoiled_entry_names_no_replica() -> None:
    """A replica whose entry another writer corrupted is still used."""
    registry, view, _ = _make_registry()
    registry.replace(_read_page(_make_object('i-1', _ENTRY)), unanswered=NEVER)
    registry.put(_read_page(_make_object('i-1', None))[0])
    assert not view.replicas


@given(st.lists(_JSON), st.integers(0, 3))
def test_sound_entries_come_through(others: list[Any], place: int) -> None:
    """Arbitrary content beside a valid entry hides it, in lists or changes."""
    registry, view, _ = _make_registry()
    entries = [
        _make_object(f'x-{number}', other)
        for number, other in enumerate(others)
    ]
    entries += others
    entries.insert(min(place, len(entries)), _make_object('i-1', _ENTRY))
    registry.replace(_read_page(*entries), unanswered=NEVER)
    assert 'i-1' in {replica.entry for replica in view.replicas.values()}
    raw = json.dumps(
        {'events': [{'object': entry} for entry in entries], 'at': 3}
    ).encode()
    events = msgspec.json.decode(raw, type=Changes).events
    update = StoreUpdate(
        StoreRevision(1, 3),
        0,
        tuple(Change(bytes(event.found), False) for event in events),
    )
    log = LineLog('node-a', BootClock(), len)
    changes = read_changes(update, log, 'servers')
    read = [found.metadata.name for found, _ in changes]
    assert 'i-1' in read


@given(st.binary(max_size=60))
def test_bytes_that_are_no_text_name_no_replica(content: bytes) -> None:
    """An entry of arbitrary bytes is used as a replica."""
    registry, view, _ = _make_registry()
    found = _read_page(_make_object('i-9', None))[0]
    found.spec = msgspec.Raw(content)
    registry.put(found)
    assert not view.replicas


async def test_port_out_of_range_is_no_server_error() -> None:
    """A request for which such a replica is chosen ends with status 500."""
    sound, wrong = make_non_model_replicas(2)
    async with run_node([sound]) as node:
        wrong.store, wrong.address = node.store, '127.0.0.1:70000'
        wrong.register()
        await wait_until(
            lambda: (
                node.count('entry-refused') or node.count('replica-listed') == 2
            )
        )
        answers = await asyncio.gather(
            *(ask(node, '/ping/x', identity=f'r-{nr}') for nr in range(20))
        )
        assert {status for status, _, _ in answers} == {200}


async def test_others_serve_beside_foreign_entries() -> None:
    """Foreign entries in the list and in changes stop requests."""
    async with run_node(make_model_replicas((0, 4), (4, 8))) as node:
        for number, spec in enumerate([None, 5, 'x', {}, {'service': 'model'}]):
            node.store.put('servers', f'x-{number}', spec)
        await wait_until(lambda: node.count('entry-refused') == 5)
        node.store.forget_history()
        await wait_until(lambda: node.count('history-lost') >= 2)
        _, body, _ = await ask(node, '/plan/x')
        assert body == make_event_stream(5)
