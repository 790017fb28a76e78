"""The frames between nodes, as a stream of msgpack arrays."""

import hashlib
import hmac
from collections.abc import Iterator

import msgpack
import msgspec

from ryelatch_core.membership import Vm
from ryelatch_core.settings import Index

MAX_STREAM_BYTES = 16_777_216


class _Frame(msgspec.Struct, frozen=True, array_like=True):
    """Common form of all frames."""


class Challenge(_Frame, frozen=True, array_like=True, tag=0):
    """What the other side has to prove its key with."""

    nonce: bytes


class Join(_Frame, frozen=True, array_like=True, tag=1):
    """Who calls, with its proof and a challenge of its own."""

    name: str
    zone: str
    nonce: bytes
    proof: bytes


class Welcome(_Frame, frozen=True, array_like=True, tag=2):
    """Who was called, with its proof."""

    name: str
    zone: str
    proof: bytes


class Heartbeat(_Frame, frozen=True, array_like=True, tag=3):
    """What a peer has to know all the time.

    :param wall: of the sender's hybrid clock, milliseconds.
    :param leaving: upstreams known first-hand to be leaving.
    :param demands: requests running or waiting, by model and account.
    """

    wall: int
    tick: int
    revision: int
    draining: bool
    leaving: tuple[str, ...]
    demands: dict[str, dict[str, int]]


class RevisionOffer(_Frame, frozen=True, array_like=True, tag=4):
    """A revision of the settings that the receiver may lack."""

    index: Index


class PartsRequest(_Frame, frozen=True, array_like=True, tag=5):
    """Parts that the receiver of an index does not hold."""

    digests: tuple[str, ...]


class PartsReply(_Frame, frozen=True, array_like=True, tag=6):
    """The parts wanted."""

    blobs: dict[str, bytes]


class VmListing(_Frame, frozen=True, array_like=True, tag=7):
    """The VMs as the platform listed them."""

    vms: tuple[Vm, ...]


class Delta(_Frame, frozen=True, array_like=True, tag=8):
    """What changed from one revision to the next, with its contents.

    :param base: the revision that the receiver has in force.
    :param index: of the new revision, without its parts.
    :param changed: digests of the parts added or changed, by path.
    """

    base: int
    index: Index
    changed: dict[str, str]
    removed: tuple[str, ...]
    blobs: dict[str, bytes]


Frame = (
    Challenge
    | Join
    | Welcome
    | Heartbeat
    | RevisionOffer
    | PartsRequest
    | PartsReply
    | VmListing
    | Delta
)


class PeerFrameError(Exception):
    """Bytes that are not frames of a peer."""


class FrameReader:
    """Cuts a stream of bytes into frames.

    Anyone may connect to the peer port; nesting, sizes and types are bounded
    here, before any frame is looked at.
    """

    def __init__(self) -> None:
        self._unpacker = msgpack.Unpacker(
            raw=False, max_buffer_size=MAX_STREAM_BYTES, use_list=True
        )

    def feed(self, chunk: bytes) -> Iterator[Frame]:
        """Take in bytes and give the frames that are whole.

        :raises PeerFrameError: if the bytes are anything else.
        """
        try:
            self._unpacker.feed(chunk)
            for plain in self._unpacker:
                yield msgspec.convert(plain, Frame)
        except (msgpack.UnpackException, ValueError) as error:
            raise PeerFrameError(str(error)) from error


def encode_frame(frame: Frame) -> bytes:
    """Encode a frame."""
    return msgspec.msgpack.encode(frame)


def compute_proof(key: str, nonce: bytes, name: str) -> bytes:
    """Prove knowledge of the peers' key for a challenge."""
    return hmac.digest(key.encode(), nonce + name.encode(), hashlib.sha256)
