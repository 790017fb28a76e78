"""Client keys are refused before an unseen revocation exceeds its bound."""

from ryelatch_core.routing import Confirmation


def test_keys_end_before_the_bound() -> None:
    """A node is cut off; a key is revoked 5 s before its next request.

    The node is not notified. It must stop accepting keys a little earlier, as
    its watch may have missed changes for a second before it was cut off.
    """
    confirmation = Confirmation(bound=5)
    assert not confirmation.allows_keys(0)
    confirmation.confirm(100)
    assert confirmation.allows_keys(103.6)
    assert not confirmation.allows_keys(103.8)


def test_older_confirmations_change_nothing() -> None:
    """A slow response to an earlier call arrives after a newer one."""
    confirmation = Confirmation(bound=5)
    confirmation.confirm(100)
    confirmation.confirm(97)
    assert confirmation.age(101) == 1
