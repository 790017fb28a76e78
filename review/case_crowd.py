"""Clients without a key that send one request after the other.

Each is within the limits: a path of many slashes, or a body in chunks that is
made of empty lines.
"""

import argparse
import asyncio
import time


CHUNK_BYTES = 16_000


def make_request(path_bytes: int, body_bytes: int) -> bytes:
    """Make a request with a path of slashes, or a body of empty lines."""
    host = b'Host: city.example\r\n'
    if path_bytes:
        return b'GET %b HTTP/1.1\r\n%b\r\n' % (b'/' * path_bytes, host)
    lines = b'\r\n' * (CHUNK_BYTES // 2)
    chunk = b'%x\r\n%b\r\n' % (len(lines), lines)
    body = chunk * (body_bytes // CHUNK_BYTES) + b'0\r\n\r\n'
    head = b'POST /x/ HTTP/1.1\r\n%bTransfer-Encoding: chunked\r\n\r\n' % host
    return head + body


async def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument('host')
    parser.add_argument('--clients', type=int, required=True)
    parser.add_argument('--seconds', type=float, required=True)
    parser.add_argument('--path-bytes', type=int, default=0)
    parser.add_argument('--body-bytes', type=int, default=0)
    options = parser.parse_args()
    request = make_request(options.path_bytes, options.body_bytes)
    end = time.monotonic() + options.seconds
    answered = 0

    async def send() -> None:
        nonlocal answered
        while time.monotonic() < end:
            try:
                reader, writer = await asyncio.open_connection(
                    options.host, 8227
                )
                while time.monotonic() < end:
                    writer.write(request)
                    head = await reader.readuntil(b'\r\n\r\n')
                    length = head.lower().partition(b'content-length:')[2]
                    await reader.readexactly(int(length.split()[0]))
                    answered += 1
            except (OSError, EOFError, IndexError):
                await asyncio.sleep(0.2)

    tasks = [asyncio.create_task(send()) for _ in range(options.clients)]
    await asyncio.wait(tasks, timeout=options.seconds + 1)
    print(f'ANSWERED {answered}', flush=True)


if __name__ == '__main__':
    asyncio.run(main())
