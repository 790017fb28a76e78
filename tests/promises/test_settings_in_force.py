"""Accepted settings are in force everywhere within seconds and never revert."""

import asyncio
import signal
from collections.abc import Callable
from typing import Any

import yaml

from fleet.checks import list_events
from fleet.fleet import Fleet, make_shape, run_fleet

Tweak = Callable[[dict[str, Any]], object]


def _set_weight(group: str, weight: int) -> Tweak:
    def tweak(tree: dict[str, Any]) -> None:
        policy = tree['accounts'][group].setdefault('policy', {})
        policy['weight'] = weight

    return tweak


async def _revisions(fleet: Fleet) -> list[int]:
    return [
        (await fleet.status(node))['revision']
        for node in fleet.nodes
        if node.child.returncode is None
    ]


async def _wait_revision(fleet: Fleet, revision: int) -> None:
    async def in_force() -> bool:
        return set(await _revisions(fleet)) == {revision}

    await fleet.wait_for(in_force)


async def _edit(fleet: Fleet, tweak: Tweak, name: str, base: int) -> str:
    path = fleet.write_settings(tweak, f'{name}.yaml')
    code, output, errors = await fleet.run_cli(
        'settings', 'apply', str(path), '--base', str(base), '-m', name
    )
    return f'{code} {output}{errors}'


async def _show(fleet: Fleet) -> Any:
    _, output, _ = await fleet.run_cli('settings', 'show')
    return yaml.safe_load(output)


async def test_two_operators_edit_the_same_part() -> None:
    """Two operators change the same weight at the same time.

    Without a check, one change would silently overwrite the other. One is
    accepted. The other is refused with the part that changed meanwhile and
    who changed it, and its file stays as it was.
    """
    async with run_fleet(make_shape()) as fleet:
        outputs = await asyncio.gather(
            _edit(fleet, _set_weight('wards', 3), 'desk-1', 1),
            _edit(fleet, _set_weight('wards', 4), 'desk-2', 1),
        )
        assert sorted(text[0] for text in outputs) == ['0', '1']
        refused = next(text for text in outputs if text[0] == '1')
        assert 'accounts/wards' in refused
        assert 'not accepted' in refused
        await _wait_revision(fleet, 2)


async def test_two_operators_edit_different_parts() -> None:
    """Two operators change different accounts from the same base revision.

    Both changes are accepted, one on top of the other, and neither is lost.
    """
    async with run_fleet(make_shape()) as fleet:
        outputs = await asyncio.gather(
            _edit(fleet, _set_weight('wards', 3), 'desk-1', 1),
            _edit(fleet, _set_weight('clinics', 4), 'desk-2', 1),
        )
        assert [text[0] for text in outputs] == ['0', '0']
        shown = await _show(fleet)
        assert shown['accounts']['wards']['policy']['weight'] == 3
        assert shown['accounts']['clinics']['policy']['weight'] == 4
        await _wait_revision(fleet, 3)


async def test_answer_to_the_acceptance_is_lost() -> None:
    """The write of the root object takes effect, but its response is lost.

    The command finds the mark of its edit in the history and reports it as
    accepted, once. Writing it again blindly would make two revisions.
    """
    async with run_fleet(make_shape(nodes=1)) as fleet:
        faults = {'lose': 1, 'match': 'settings/root'}
        await fleet.control(fleet.platform, 'faults', faults)
        output = await _edit(fleet, _set_weight('wards', 3), 'desk-1', 1)
        assert output[0] == '0'
        assert 'accepted as revision 2' in output
        await _wait_revision(fleet, 2)


async def test_acceptance_that_lands_late() -> None:
    """The write of an edit reaches the store long after it timed out.

    By then the edit was written by a retry, and the edit of another operator
    was accepted on top. The late write is refused, because the version of the
    root object has changed. If it took effect, it would revert the second
    edit.
    """
    async with run_fleet(make_shape(nodes=1)) as fleet:
        faults = {'late': 1, 'late_by': 8, 'match': 'settings/root'}
        await fleet.control(fleet.platform, 'faults', faults)
        output = await _edit(fleet, _set_weight('wards', 3), 'desk-1', 1)
        assert 'accepted as revision 2' in output
        output = await _edit(fleet, _set_weight('clinics', 4), 'desk-2', 1)
        assert 'accepted as revision 3' in output

        async def landed() -> bool:
            counts = await fleet.inspect(fleet.platform, 'counts')
            return 'late' in counts

        await fleet.wait_for(landed)
        shown = await _show(fleet)
        assert shown['accounts']['wards']['policy']['weight'] == 3
        assert shown['accounts']['clinics']['policy']['weight'] == 4
        await _wait_revision(fleet, 3)


async def test_paused_node_comes_back() -> None:
    """A node's VM is paused while two revisions are accepted.

    When it resumes, its watch of the store may deliver a response from before
    the pause. The node applies the newest revision and never an older one.
    """
    async with run_fleet(make_shape()) as fleet:
        paused = fleet.processes['node-b']
        paused.send(signal.SIGSTOP)
        for number in (1, 2):
            path = fleet.write_settings(_set_weight('wards', number + 5))
            await fleet.run_cli('settings', 'apply', str(path), '--wait', '0')
        paused.send(signal.SIGCONT)
        await _wait_revision(fleet, 3)
        for event in await list_events(fleet, 'settings-applied'):
            assert int(event['detail']['revision']) <= 3
        assert not await list_events(fleet, 'settings-refused')


async def test_node_boots_in_an_outage_of_the_store() -> None:
    """A VM is replaced while the platform's store is unavailable.

    The new node has no local settings. It gets the newest revision that its
    peers have, serves with it, and reports it as not confirmed by the store.
    """
    async with run_fleet(make_shape()) as fleet:
        await fleet.processes['node-c'].kill()
        await fleet.control(fleet.platform, 'faults', {'outage': True})
        seeds = [
            dict(
                zip(
                    ('host', 'port'),
                    (address.split(':')[0], int(address.split(':')[1])),
                    strict=True,
                )
            )
            for name in ('node-a', 'node-b')
            for address in (fleet.vms[name]['address'],)
        ]
        node = await fleet.start_node('node-c', seeds=seeds)
        await _wait_revision(fleet, 1)
        assert not (await fleet.status(node))['confirmed']
        events = await fleet.ask_admin(node, 'timeline')
        assert 'settings-unconfirmed' in {event['name'] for event in events}
        await fleet.control(fleet.platform, 'faults', {})

        async def confirmed() -> bool:
            return bool((await fleet.status(node))['confirmed'])

        await fleet.wait_for(confirmed)


async def test_store_slow_and_nodes_that_do_not_watch() -> None:
    """Few of eight nodes watch the store, and the store is slow.

    The other nodes receive a revision from their peers, so it is in force on
    all nodes although most of them never read it from the store.
    """
    async with run_fleet(make_shape(nodes=8, replicas=1)) as fleet:
        await fleet.control(fleet.platform, 'faults', {'slow': 0.3})
        output = await _edit(fleet, _set_weight('wards', 3), 'desk-1', 1)
        assert output[0] == '0'
        await _wait_revision(fleet, 2)
        sources = {
            event['detail']['source']
            for event in await list_events(fleet, 'settings-applied')
            if event['detail']['revision'] == '2'
        }
        assert sources - {'store'}
