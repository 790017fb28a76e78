"""The frames between a node and an engine: msgpack arrays in batches.

The classes are frozen structs of the codec in place of data classes: the
codec then checks types and counts of hostile bytes while it decodes.
"""

from typing import NamedTuple

import msgspec

MAX_FRAME_BYTES = 33_554_432


class StepKey(NamedTuple):
    """What makes a step the same step when it is sent again."""

    stream: str
    attempt: int
    position: int


class _Frame(msgspec.Struct, frozen=True, array_like=True):
    """Common form of all frames."""


class _StepFrame(_Frame, frozen=True, array_like=True):
    """Common form of what concerns one step."""

    stream: str
    attempt: int
    position: int

    @property
    def key(self) -> StepKey:
        """The identity under which the engine keeps the answer."""
        return StepKey(self.stream, self.attempt, self.position)


class Hello(_Frame, frozen=True, array_like=True, tag=0):
    """What an engine says of itself, at connection and at each change.

    :param instance: changes with each start of the process.
    :param first: the first layer that it holds.
    :param last: the layer after the last one that it holds.
    :param rate: positions a second for its range, as rated.
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
    """Run an engine's layers over the next positions of a stream.

    :param position: the first of the positions.
    :param count: how many positions.
    :param tokens: the input of the first stage, one a position.
    :param payload: the activations of the stage before, opaque.
    :param handle: where the engine fetches them instead, or empty.
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
    """What an engine ran, and the output for the next stage or the caller."""

    count: int
    first: int
    last: int
    version: str
    tokens: tuple[int, ...] = ()
    payload: bytes = b''
    handle: str = ''


class Refusal(_StepFrame, frozen=True, array_like=True, tag=3):
    """A step that the engine did not run."""

    reason: str


class Cancel(_Frame, frozen=True, array_like=True, tag=4):
    """Forget a stream up to and with an attempt."""

    stream: str
    attempt: int


class Ping(_Frame, frozen=True, array_like=True, tag=5):
    """Asks whether the other end still reads and answers."""

    number: int


class Pong(_Frame, frozen=True, array_like=True, tag=6):
    """Answers a ping.

    :param waiting: positions queued at the engine, as of a while ago.
    """

    number: int
    waiting: float = 0


Frame = Hello | Step | Receipt | Refusal | Cancel | Ping | Pong

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(list[Frame])


class FrameError(Exception):
    """Bytes that are not a batch of frames."""


def encode_frames(frames: list[Frame]) -> bytes:
    """Encode a batch; steps to one engine share it, as each costs a call."""
    return _encoder.encode(frames)


def decode_frames(blob: bytes) -> list[Frame]:
    """Decode a batch.

    :raises FrameError: if anything in it is not of a known form.
    """
    try:
        return _decoder.decode(blob)
    except msgspec.MsgspecError as error:
        raise FrameError(str(error)) from error
