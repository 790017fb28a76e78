"""Changes between two revisions, as peers pass them on.

The index of a large tree is tens of kilobytes, and a change concerns a part
or two; passed on whole it would be most of what a node sends.
"""

from dataclasses import replace

from ryelatch_core.settings import Bundle, diff_parts
from ryelatch_node.peers._frames import Delta


def make_delta(old: Bundle, new: Bundle) -> Delta:
    """Work out what a peer lacks that has the old revision in force."""
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
    """Make the new revision from the old one and what changed.

    Contents are checked against their digests when the bundle is applied.
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
