"""Frames exchanged between a node and an engine: batches of msgpack arrays.

The classes are frozen structs of the codec instead of data classes, so that
the codec checks types and lengths of untrusted bytes while it decodes them.
"""

from typing import NamedTuple

import msgspec

MAX_FRAME_BYTES = 33_554_432


class StepKey(NamedTuple):
    """Identity of a step, which stays the same when the step is sent again."""

    stream: str
    attempt: int
    position: int


class _Frame(msgspec.Struct, frozen=True, array_like=True):
    """Base class of all frames."""


class _StepFrame(_Frame, frozen=True, array_like=True):
    """Base class of the frames that concern one step."""

    stream: str
    attempt: int
    position: int

    @property
    def key(self) -> StepKey:
        """Identity under which the engine keeps the receipt."""
        return StepKey(self.stream, self.attempt, self.position)


class Hello(_Frame, frozen=True, array_like=True, tag=0):
    """Description of an engine, sent on connecting and after each change.

    :param instance: identifier of one run of the process.
    :param first: first layer that it holds.
    :param last: layer after the last one that it holds.
    :param rate: nominal positions per second for its range.
    """

    name: str
    instance: str
    model: str
    version: str
    first: int
    last: int
    kind: str
    rate: float
    leaving: bool = False
    fence: int = 0


class Step(_StepFrame, frozen=True, array_like=True, tag=1):
    """Command to run an engine's layers on the next positions of a stream.

    :param position: first of the positions.
    :param count: number of positions.
    :param tokens: input of the first stage, one token per position.
    :param payload: activations from the previous stage, opaque.
    :param handle: where the engine fetches the activations if they are not in
        ``payload``, or empty.
    :param sample: whether the last stage should return the next token.
    """

    count: int
    first: int
    last: int
    version: str
    priority: int
    sample: bool
    tokens: tuple[int, ...] = ()
    payload: bytes = b''
    handle: str = ''


class Receipt(_StepFrame, frozen=True, array_like=True, tag=2):
    """What an engine ran, with its output for the next stage or the client."""

    count: int
    first: int
    last: int
    version: str
    tokens: tuple[int, ...] = ()
    payload: bytes = b''
    handle: str = ''


class Refusal(_StepFrame, frozen=True, array_like=True, tag=3):
    """Notice that the engine did not run a step."""

    reason: str


class Cancel(_Frame, frozen=True, array_like=True, tag=4):
    """Command to discard a stream up to and including an attempt."""

    stream: str
    attempt: int


class Ping(_Frame, frozen=True, array_like=True, tag=5):
    """Checks whether the other side still reads and responds."""

    number: int


class Pong(_Frame, frozen=True, array_like=True, tag=6):
    """Response to a ping.

    :param waiting: positions queued at the engine; may be out of date.
    """

    number: int
    waiting: float = 0


Frame = Hello | Step | Receipt | Refusal | Cancel | Ping | Pong

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(list[Frame])


class FrameError(Exception):
    """Bytes that are not a valid batch of frames."""


def encode_frames(frames: list[Frame]) -> bytes:
    """Encode a batch of frames.

    Steps for the same engine share a batch, because each batch costs a call.
    """
    return _encoder.encode(frames)


def decode_frames(blob: bytes) -> list[Frame]:
    """Decode a batch.

    :raises FrameError: if any part of it does not match a known frame.
    """
    try:
        return _decoder.decode(blob)
    except msgspec.MsgspecError as error:
        raise FrameError(str(error)) from error
