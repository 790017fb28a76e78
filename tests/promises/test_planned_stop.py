"""A planned stop of a VM interrupts no request in progress."""

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


async def _choose_node(fleet: Fleet, turn: int) -> Process:
    """Choose a ready node, as the load balancer does."""
    while True:
        start = turn % len(fleet.nodes)
        for node in fleet.nodes[start:] + fleet.nodes[:start]:
            if node.child.returncode is None and await _is_ready(fleet, node):
                return node
        await asyncio.sleep(0.02)


async def test_all_nodes_replaced_one_after_the_other() -> None:
    """All nodes are replaced one by one while clients send requests.

    Each node in turn reports that it isn't ready, answers requests that still
    arrive, completes those in progress, and exits with 0.
    """
    async with run_fleet(make_shape()) as fleet:
        stop = asyncio.Event()
        answers: list[tuple[str, StreamedAnswer]] = []

        async def send_requests(number: int) -> None:
            turn = number
            while not stop.is_set():
                turn += 1
                node = await _choose_node(fleet, turn)
                received = StreamedAnswer()
                content = f'caller {number} turn {turn}'
                answers.append((content, received))
                await ask(fleet.http, node, _KEY, content, 40, received)

        clients = [
            asyncio.create_task(send_requests(number)) for number in range(12)
        ]
        await fleet.wait_until(lambda: len(answers) > 12)
        for name in list(fleet.shape.nodes):
            assert await fleet.processes[name].stop() == 0
            await fleet.start_node(name)
            await fleet.wait_connected()
        stop.set()
        await asyncio.gather(*clients)
        for content, received in answers:
            assert received.status == 200, received.error
            assert received.text == complete_chat(content, 12, 40)


async def test_long_answer_and_impatient_supervisor() -> None:
    """A node receives three stop signals while it streams a long answer.

    The second and third signal must not shorten the shutdown. The answer is
    completed, and so is a slow booking.
    """
    async with run_fleet(make_shape(nodes=1)) as fleet:
        node = fleet.nodes[0]
        received = StreamedAnswer()
        await set_booking_faults(fleet, slow=0.5)
        answering = asyncio.create_task(
            ask(fleet.http, node, _KEY, 'long', _TOKENS, received)
        )
        booking = asyncio.create_task(book(fleet, node, 'p', 'key-1'))
        await fleet.wait_until(lambda: received.text)
        stops = [asyncio.create_task(node.stop()) for _ in range(3)]
        await asyncio.gather(answering, booking, *stops)
        assert received.text == complete_chat('long', 12, _TOKENS)
        assert booking.result()[:2] == (201, 'complete')
        assert await count_runs(fleet) == {'p': 1}
        assert {task.result() for task in stops} == {0}


async def test_kept_connection_is_told_to_close() -> None:
    """A client sends a request on a kept connection during the drain.

    The response has the header ``connection: close``, so that the client
    sends its next request to another node instead of on a closed connection.
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
    """A node is stopped while requests are queued.

    Requests in the queue were accepted, so they must be answered too.
    """

    def limit_slots(tree: dict[str, dict[str, dict[str, object]]]) -> None:
        tree['models']['textile-care']['slots'] = 2

    async with run_fleet(make_shape(nodes=1, tweak=limit_slots)) as fleet:
        node = fleet.nodes[0]
        received = [StreamedAnswer() for _ in range(6)]
        answering = [
            asyncio.create_task(
                ask(fleet.http, node, _KEY, f'{index}', 60, answer)
            )
            for index, answer in enumerate(received)
        ]
        await fleet.wait_until(lambda: any(answer.text for answer in received))
        assert await node.stop() == 0
        await asyncio.gather(*answering)
        for index, answer in enumerate(received):
            assert answer.text == complete_chat(f'{index}', 12, 60)
