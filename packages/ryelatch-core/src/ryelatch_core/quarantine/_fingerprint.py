"""Keys by which crashes are counted, one for each possible cause."""

import functools
import hashlib
from dataclasses import dataclass

_PART_PREFIX = 'part-'
_HASH_BYTES = 4
_CACHED_SERVICES = 256


@dataclass(frozen=True, slots=True)
class Fingerprint:
    """What about a request may crash the replicas that run it.

    :param digest: key of its whole content; its copies share it.
    :param parts: keys of the parts of its prompt that other requests share.
    """

    digest: str
    parts: tuple[str, ...] = ()

    @property
    def keys(self) -> tuple[str, ...]:
        """All keys, that of the whole content first."""
        return (self.digest, *self.parts)


def make_part_key(service: str, part: str) -> str:
    """Make the key of a part of a prompt.

    It is the same for all client accounts and routes of a service: its
    replicas read the part alike, whoever sends it.

    :param part: the part's hash, as hexadecimal digits.
    """
    return f'{_PART_PREFIX}{part}-{_hash_service(service)}'


def is_part(key: str) -> bool:
    """Whether a key is that of a part of a prompt."""
    return key.startswith(_PART_PREFIX)


@functools.lru_cache(maxsize=_CACHED_SERVICES)
def _hash_service(service: str) -> str:
    digest = hashlib.blake2b(service.encode(), digest_size=_HASH_BYTES)
    return digest.hexdigest()
