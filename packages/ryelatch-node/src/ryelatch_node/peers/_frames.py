"""Frames between nodes, a stream of msgpack arrays."""

import hashlib
import hmac
from collections.abc import Iterator

import msgpack
import msgspec

from ryelatch_core.membership import Vm
from ryelatch_core.settings import Index

MAX_STREAM_BYTES = 16_777_216


class _Frame(msgspec.Struct, frozen=True, array_like=True):
    """Base class of all frames."""


class Challenge(_Frame, frozen=True, array_like=True, tag=0):
    """Challenge of the node that accepted the connection.

    :param nonce: random bytes, to be covered by the proof.
    """

    nonce: bytes


class Join(_Frame, frozen=True, array_like=True, tag=1):
    """Response of the connecting node, with a challenge in return.

    :param name: name of the connecting node.
    :param nonce: random bytes, to be covered by the proof of the other node.
    :param proof: proof for the nonce of :class:`Challenge`.
    """

    name: str
    zone: str
    nonce: bytes
    proof: bytes


class Welcome(_Frame, frozen=True, array_like=True, tag=2):
    """Response of the accepting node, which completes the handshake.

    :param name: name of the accepting node.
    :param proof: proof for the nonce of :class:`Join`.
    """

    name: str
    zone: str
    proof: bytes


class Heartbeat(_Frame, frozen=True, array_like=True, tag=3):
    """State that a node sends to each peer regularly and on changes.

    :param wall: milliseconds of the sender's hybrid clock.
    :param tick: logical part of that clock.
    :param revision: revision of the settings in force.
    :param draining: whether the sender is shutting down.
    :param leaving: upstreams that reported to the sender, or are in its list,
        as leaving.
    :param demands: requests running or waiting, by model and account.
    """

    wall: int
    tick: int
    revision: int
    draining: bool
    leaving: tuple[str, ...]
    demands: dict[str, dict[str, int]]


class RevisionOffer(_Frame, frozen=True, array_like=True, tag=4):
    """Offers a revision of the settings that the receiver may lack."""

    index: Index


class PartsRequest(_Frame, frozen=True, array_like=True, tag=5):
    """Requests the parts of an offered revision that a node lacks."""

    digests: tuple[str, ...]


class PartsReply(_Frame, frozen=True, array_like=True, tag=6):
    """The requested parts, by digest."""

    blobs: dict[str, bytes]


class VmList(_Frame, frozen=True, array_like=True, tag=7):
    """The VMs in the platform's list."""

    vms: tuple[Vm, ...]


class Delta(_Frame, frozen=True, array_like=True, tag=8):
    """Difference between two revisions, with the contents of new parts.

    :param base: revision that the receiver has in force.
    :param index: index of the new revision, without its parts.
    :param changed: digests of the parts added or changed, by path.
    :param removed: paths of the parts removed.
    :param blobs: contents of the changed parts, by digest.
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
    | VmList
    | Delta
)


class PeerFrameError(Exception):
    """The received bytes are not valid frames."""


class FrameReader:
    """Splits a stream of bytes into frames.

    Anyone can connect to the peer port. So nesting, sizes and types are
    checked here, before any frame is used.
    """

    def __init__(self) -> None:
        self._unpacker = msgpack.Unpacker(
            raw=False, max_buffer_size=MAX_STREAM_BYTES, use_list=True
        )

    def feed(self, chunk: bytes) -> Iterator[Frame]:
        """Add bytes and yield the frames that are complete.

        :raises PeerFrameError: if the bytes are not valid frames.
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
    """Compute the proof that a node has the peers' key.

    :param nonce: challenge of the other node.
    :param name: name of the node that gives the proof.
    """
    return hmac.digest(key.encode(), nonce + name.encode(), hashlib.sha256)
