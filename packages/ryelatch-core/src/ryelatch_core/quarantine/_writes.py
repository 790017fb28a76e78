"""Writes of crashes to the store."""

from dataclasses import dataclass

from ryelatch_core.eras import StoreRevision
from ryelatch_core.quarantine._crashes import Crashes
from ryelatch_core.quarantine._fingerprint import is_part


@dataclass(frozen=True, slots=True)
class StoreWrite:
    """A conditional write, or deletion, of a key's object in the store.

    :param key: of a whole request or of a part of prompts; names the object.
    :param crashes: crashes to write; ``None`` deletes the object.
    :param revision: revision that the object must have; ``None`` if it must
        not exist, as no object is deleted then.
    """

    key: str
    crashes: Crashes | None
    revision: StoreRevision | None


def rank_write(write: StoreWrite) -> tuple[int, bool]:
    """Rank writes of likely causes first, of equal ones those of parts."""
    crashes = len(write.crashes.incarnations) if write.crashes else 0
    return (-crashes, not is_part(write.key))
