"""A planned stop of any VM cuts off no request in progress."""

import asyncio

import aiohttp

from fleet.caller import StreamedAnswer, ask
from fleet.checks import book, count_runs, set_booking_faults
from fleet.fleet import Fleet, make_shape, run_fleet
from fleet.processes import Process
from standins.model import complete_chat

_KEY = 'schools-key'
_TOKENS = 150


async def _is_ready(fleet: Fleet, node: Process) -> bool:
    try:
        async with fleet.http.get(f'{node.url}/readyz') as response:
            return response.status == 200
    except aiohttp.ClientError:
        return False


async def _balance(fleet: Fleet, turn: int) -> Process:
    """Pick a node as the balancer does: one that says that it is ready."""
    while True:
        start = turn % len(fleet.nodes)
        for node in fleet.nodes[start:] + fleet.nodes[:start]:
            if node.child.returncode is None and await _is_ready(fleet, node):
                return node
        await asyncio.sleep(0.02)


async def test_all_nodes_replaced_one_after_the_other() -> None:
    """Every VM is replaced while crews work: a rolling replacement.

    Callers come through the balancer all the time. Each node in turn is not
    ready, answers what still comes, ends what it has, and exits with 0.
    """
    async with run_fleet(make_shape()) as fleet:
        stop = asyncio.Event()
        texts: list[tuple[str, StreamedAnswer]] = []

        async def call(number: int) -> None:
            turn = number
            while not stop.is_set():
                turn += 1
                node = await _balance(fleet, turn)
                heard = StreamedAnswer()
                content = f'caller {number} turn {turn}'
                texts.append((content, heard))
                await ask(fleet.http, node, _KEY, content, 40, heard)

        callers = [asyncio.create_task(call(number)) for number in range(12)]
        await fleet.wait_until(lambda: len(texts) > 12)
        for name in list(fleet.shape.nodes):
            assert await fleet.processes[name].stop() == 0
            await fleet.start_node(name)
            await fleet.wait_connected()
        stop.set()
        await asyncio.gather(*callers)
        for content, heard in texts:
            assert heard.status == 200, heard.error
            assert heard.text == complete_chat(content, 12, 40)


async def test_long_answer_and_impatient_supervisor() -> None:
    """A node is told to stop three times while it streams a long answer.

    The second and third signal must not shorten the stop; the answer ends
    whole, and so does a slow booking.
    """
    async with run_fleet(make_shape(nodes=1)) as fleet:
        node = fleet.nodes[0]
        heard = StreamedAnswer()
        await set_booking_faults(fleet, slow=0.5)
        asking = asyncio.create_task(
            ask(fleet.http, node, _KEY, 'long', _TOKENS, heard)
        )
        booking = asyncio.create_task(book(fleet, node, 'p', 'key-1'))
        await fleet.wait_until(lambda: heard.text)
        stops = [asyncio.create_task(node.stop()) for _ in range(3)]
        await asyncio.gather(asking, booking, *stops)
        assert heard.text == complete_chat('long', 12, _TOKENS)
        assert booking.result()[:2] == (201, 'complete')
        assert await count_runs(fleet) == {'p': 1}
        assert {task.result() for task in stops} == {0}


async def test_kept_connection_is_told_to_close() -> None:
    """A caller keeps a connection open and sends on it during the drain.

    It is answered, and told that the connection closes, so that the next
    request goes to another node instead of into a closed socket.
    """
    shape = make_shape(nodes=1, drain_notice=1.0)
    async with run_fleet(shape) as fleet:
        node = fleet.nodes[0]
        url = f'{node.url}/v1/models'
        headers = {'Authorization': f'Bearer {_KEY}'}
        async with fleet.http.get(url, headers=headers) as response:
            assert response.headers.get('connection') != 'close'
            await response.read()
        stopping = asyncio.create_task(node.stop())

        async def draining() -> bool:
            return not await _is_ready(fleet, node)

        await fleet.wait_for(draining)
        async with fleet.http.get(url, headers=headers) as response:
            assert response.status == 200
            assert response.headers['connection'] == 'close'
        assert await stopping == 0


async def test_stop_with_requests_in_the_queue() -> None:
    """A node is stopped while requests wait for their turn.

    Those in the queue were taken in, so they are answered too.
    """

    def narrow(tree: dict[str, dict[str, dict[str, object]]]) -> None:
        tree['models']['textile-care']['slots'] = 2

    async with run_fleet(make_shape(nodes=1, tweak=narrow)) as fleet:
        node = fleet.nodes[0]
        heard = [StreamedAnswer() for _ in range(6)]
        asking = [
            asyncio.create_task(
                ask(fleet.http, node, _KEY, f'{index}', 60, one)
            )
            for index, one in enumerate(heard)
        ]
        await fleet.wait_until(lambda: any(one.text for one in heard))
        assert await node.stop() == 0
        await asyncio.gather(*asking)
        for index, one in enumerate(heard):
            assert one.text == complete_chat(f'{index}', 12, 60)
