"""Differences between two revisions of the settings, sent between peers.

The index of a large tree has tens of kilobytes, while a change usually
concerns one or two parts. Complete indexes would be most of what a node
sends.
"""

from dataclasses import replace

from ryelatch_core.settings import Bundle, diff_parts
from ryelatch_node.peers._frames import Delta


def make_delta(old: Bundle, new: Bundle) -> Delta:
    """Compute the delta for a peer that has the old revision in force."""
    differing = diff_parts(old.index.parts, new.index.parts)
    changed = {
        path: new.index.parts[path]
        for path in sorted(differing)
        if path in new.index.parts
    }
    return Delta(
        old.index.revision,
        replace(new.index, parts={}),
        changed,
        tuple(sorted(differing - changed.keys())),
        {digest: new.blobs[digest] for digest in changed.values()},
    )


def merge_delta(old: Bundle, delta: Delta) -> Bundle:
    """Make the new revision from the old one and a delta.

    Applying the bundle later checks the contents against their digests.
    """
    parts = {
        path: digest
        for path, digest in old.index.parts.items()
        if path not in delta.removed
    } | delta.changed
    blobs = dict(old.blobs) | delta.blobs
    held = {
        digest: blobs[digest] for digest in parts.values() if digest in blobs
    }
    return Bundle(replace(delta.index, parts=parts), held)
