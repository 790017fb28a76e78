"""Handshake in which two nodes prove that they have the same key."""

import asyncio
import hmac
import os

from ryelatch_core.settings import Startup
from ryelatch_node.peers import _frames as frames

_NONCE_BYTES = 16
_READ_BYTES = 4096


class HandshakeError(Exception):
    """The other side is not a valid peer."""


async def accept_peer(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    startup: Startup,
) -> tuple[str, str, frames.FrameReader]:
    """Perform the handshake with a node that connected to this one.

    :returns: its name, its availability zone, and the reader of its frames.
    :raises HandshakeError: if it doesn't prove that it has the key.
    """
    frame_reader = frames.FrameReader()
    nonce = os.urandom(_NONCE_BYTES)
    writer.write(frames.encode_frame(frames.Challenge(nonce)))
    join = await _read_frame(reader, frame_reader)
    if not isinstance(join, frames.Join):
        raise HandshakeError('no join')
    _check_proof(startup, nonce, join.name, join.proof)
    proof = frames.compute_proof(startup.peer_key, join.nonce, startup.name)
    welcome = frames.Welcome(startup.name, startup.zone, proof)
    writer.write(frames.encode_frame(welcome))
    return join.name, join.zone, frame_reader


async def join_peer(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    startup: Startup,
) -> tuple[str, str, frames.FrameReader]:
    """Perform the handshake with a node that this one connected to.

    Results and errors are those of :func:`accept_peer`.
    """
    frame_reader = frames.FrameReader()
    challenge = await _read_frame(reader, frame_reader)
    if not isinstance(challenge, frames.Challenge):
        raise HandshakeError('no challenge')
    nonce = os.urandom(_NONCE_BYTES)
    proof = frames.compute_proof(
        startup.peer_key, challenge.nonce, startup.name
    )
    join = frames.Join(startup.name, startup.zone, nonce, proof)
    writer.write(frames.encode_frame(join))
    welcome = await _read_frame(reader, frame_reader)
    if not isinstance(welcome, frames.Welcome):
        raise HandshakeError('no welcome')
    _check_proof(startup, nonce, welcome.name, welcome.proof)
    return welcome.name, welcome.zone, frame_reader


async def _read_frame(
    reader: asyncio.StreamReader,
    frame_reader: frames.FrameReader,
) -> frames.Frame:
    while chunk := await reader.read(_READ_BYTES):
        frame = next(frame_reader.feed(chunk), None)
        if frame is not None:
            return frame
    raise HandshakeError('closed')


def _check_proof(
    startup: Startup, nonce: bytes, name: str, proof: bytes
) -> None:
    expected = frames.compute_proof(startup.peer_key, nonce, name)
    if not hmac.compare_digest(expected, proof):
        raise HandshakeError('wrong key')
    if name == startup.name:
        raise HandshakeError('own name')
