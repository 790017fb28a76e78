"""Keys are accepted only while nobody can have taken them away unseen."""

from ryelatch_core.routing import Confirmation


def test_keys_end_before_the_bound() -> None:
    """A node is cut off; a key is taken away 5 s before its next request.

    The node can't know. It must stop accepting keys a little sooner, for a
    watch may have heard nothing for a second before it was cut.
    """
    known = Confirmation(bound=5)
    assert not known.allows_keys(0)
    known.confirm(100)
    assert known.allows_keys(103.6)
    assert not known.allows_keys(103.8)


def test_older_confirmations_change_nothing() -> None:
    """A slow answer to an earlier call arrives after a newer one."""
    known = Confirmation(bound=5)
    known.confirm(100)
    known.confirm(97)
    assert known.age(101) == 1
