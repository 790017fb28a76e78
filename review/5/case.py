"""A faulty replica sends second answers without end after a complete one.

The platform's part is played here too: a process that exceeds ``memoryMb`` is
killed. Exit status: 0 if the rule held, 1 if it was broken, 2 if the case
couldn't run.
"""

import asyncio
import os
import random
import signal
import sys
import tempfile
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins2 import (  # noqa: E402
    HOST,
    PLAIN,
    Record,
    Replica,
    Store,
    ask,
    make_config,
    make_headers,
    read_answer_body,
    read_head,
    render,
    run_nodes,
    sign,
)

TROUBLE = os.environ.get('TROUBLE', '1') != '0'
MEMORY_MB = 300
SOUND = 7
KEPT_CLIENTS = 16
WORK_SECONDS = 0.2
MORE_WORK_SECONDS = 0.4
"""Of all replicas at most, evenly spread, so that callers don't fall in step."""
WATCH_SECONDS = 50.0
CONTACT_SECONDS = 3.0
MAX_CLOSED = 3
LEAD_SECONDS = 4.0
"""From readiness to the first trouble: contactMs = 3,000 and more, so the node is in touch."""
ANSWERS_PER_SPOILED = 50
"""`garble` spoils x of the answers of a faulty replica: 0.02 by default, and on the sheet."""
PAUSE_SECONDS = 10.0
"""After a spoiled answer, until the next one may come."""
MORE_HEADERS = [(f'X-Depot-{number}', number) for number in range(30)]
"""Of all answers of the faulty replica."""


class Case:
    """What clients and the platform see."""

    def __init__(self, record):
        self.record = record
        self.running = {}
        self.cut = []
        self.ended = False
        self.troubled = False
        self.peak = 0
        self.answers = 0
        self.spoiled = 0
        self.ready_at = None

    def in_touch(self):
        """The rule counts from contactMs after the start on; readiness is later than the start."""
        return time.monotonic() - self.ready_at > CONTACT_SECONDS


async def work(replica, head, body, reader, writer):
    """Answer after some work, as a sound replica."""
    identity = head.get('x-ryelatch-request-id')
    CASE.running[identity] = replica.id
    await asyncio.sleep(random.uniform(WORK_SECONDS, MORE_WORK_SECONDS))
    writer.write(render(200, sign(head), b'x' * 800))
    await writer.drain()
    return True


async def answer_again(replica, head, body, reader, writer):
    """Answer, and then send the same answer again and again."""
    identity = head.get('x-ryelatch-request-id')
    answer = render(200, sign(head, MORE_HEADERS), b'')
    await asyncio.sleep(random.uniform(WORK_SECONDS, MORE_WORK_SECONDS))
    writer.write(render(200, sign(head, MORE_HEADERS), b'x' * 800))
    await writer.drain()
    CASE.answers += 1
    may_spoil = CASE.answers >= ANSWERS_PER_SPOILED * (CASE.spoiled + 1)
    if not (TROUBLE and CASE.troubled and may_spoil and identity.startswith('look')):
        return True
    CASE.spoiled += 1
    replica.record(f'replica {replica.id} spoils answer {CASE.answers}, the one to {identity}')
    await asyncio.sleep(0.05)
    sent = 0
    try:
        while True:
            writer.write(answer * 200)
            sent += 200
            await writer.drain()
            await asyncio.sleep(0)
    finally:
        if sent > 2000:
            replica.record(f'replica {replica.id} has sent {sent} second answers after that to {identity}')


async def keep_asking(node, number):
    """Send bookings on one connection, one after the other."""
    reader, writer = await asyncio.open_connection(*node.front)
    try:
        for count in range(10**6):
            if CASE.ended:
                return
            identity = f'kept-{number}-{count}'
            lines = [f'POST /book/{number} HTTP/1.1', f'Host: {HOST}',
                     *(f'{name}: {text}' for name, text in make_headers(identity)), 'Content-Length: 2', '', '']
            writer.write('\r\n'.join(lines).encode() + b'hi')
            try:
                head = await read_head(reader)
                await read_answer_body(reader, head)
            except (OSError, asyncio.IncompleteReadError) as error:
                if CASE.ended:
                    return
                ran = CASE.running.get(identity)
                CASE.record(f'client: connection of {identity} ends without an answer ({type(error).__name__}); '
                            f'request {count + 1} on it, passed on to sound replica {ran}')
                if ran and count and CASE.in_touch():
                    CASE.cut.append(identity)
                return
    finally:
        writer.transport.abort()


async def look_on(node):
    """Look up things, four at a time; the faulty replica spoils some of these answers."""
    number = 0
    while not CASE.ended:
        spoiled = CASE.spoiled
        asked = [ask(node.front, 'GET', '/look/1', make_headers(f'look-{number}-{each}')) for each in range(4)]
        await asyncio.gather(*asked, return_exceptions=True)
        number += 1
        if CASE.spoiled > spoiled:
            await asyncio.sleep(PAUSE_SECONDS)


async def watch_memory(node):
    """Kill the process if it exceeds its memory, as the platform does."""
    until = time.monotonic() + WATCH_SECONDS
    noted = 0
    while time.monotonic() < until and node.process.returncode is None:
        used = node.rss() / 1024
        CASE.peak = max(CASE.peak, used)
        if used > noted + 50:
            noted = used
            CASE.record(f'node has {used:.0f} MB of memory')
        if used > MEMORY_MB:
            CASE.record(f'node exceeds memoryMb = {MEMORY_MB}: the platform kills it')
            node.signal(signal.SIGKILL)
            await asyncio.sleep(1)
            return
        await asyncio.sleep(0.02)


async def play(folder, record):
    store = Store(record)
    await store.start()
    store.put('config', 'main', make_config())
    for _ in range(SOUND):
        await Replica(store, record, PLAIN, work).start()
    faulty = await Replica(store, record, PLAIN, answer_again).start()
    async with run_nodes(folder, store, 1, memory=MEMORY_MB) as (node,):
        record(f'node has {node.rss() / 1024:.0f} MB of memory; the faulty replica is {faulty.id}')
        tasks = [asyncio.create_task(keep_asking(node, number)) for number in range(KEPT_CLIENTS)]
        CASE.ready_at = time.monotonic()
        await asyncio.sleep(LEAD_SECONDS)
        CASE.troubled = True
        record('the node is in touch; trouble may begin')
        tasks.append(asyncio.create_task(look_on(node)))
        await watch_memory(node)
        CASE.ended = True
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
    record(f'{CASE.answers} answers of the faulty replica, {CASE.spoiled} of them spoiled')
    record(f'peak {CASE.peak:.0f} MB; requests of kept connections that ended without an answer: {len(CASE.cut)}')
    if TROUBLE and not CASE.spoiled:
        return 2
    return int(len(CASE.cut) > MAX_CLOSED)


async def main():
    global CASE
    record = Record(FOLDER / 'record.txt')
    CASE = Case(record)
    with tempfile.TemporaryDirectory() as folder:
        try:
            async with asyncio.timeout(110):
                status = await play(folder, record)
        except Exception as error:
            record(f'could not run: {error!r}')
            status = 2
    record(f'status {status}')
    print((FOLDER / 'record.txt').read_text().splitlines()[-2:])
    sys.exit(status)


asyncio.run(main())
