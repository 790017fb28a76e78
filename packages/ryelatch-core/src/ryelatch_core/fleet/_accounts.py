"""Which client accounts have more in progress than their share.

Answers the pattern in which one account sends many times its usual while the
others send what they always do. Served in the order in which requests come,
the others get a part of the places that shrinks with the surge. Here an
account beyond its share may use only a part of each window, so that those
below theirs find the rest of it free; the share is what each would have if
all that are busy had the same.
"""

from collections import Counter

MAX_SHARE_MULTIPLE = 2.5
"""How many times its equal share an account has when it is beyond it.

Accounts differ: the largest of ten mostly has twice an equal share. Below this,
accounts that do as always were refused more than others in each surge.
"""

_LEAST_REQUESTS = 3
"""Requests in progress below which no account is heavy."""


class AccountTracker:
    """What each client account has in progress at this node."""

    def __init__(self) -> None:
        self._requests: Counter[str] = Counter()

    def add(self, account: str) -> None:
        """Note a request that got a place."""
        self._requests[account] += 1

    def remove(self, account: str) -> None:
        """Note its end."""
        self._requests[account] -= 1
        if self._requests[account] <= 0:
            del self._requests[account]

    def exceeds_share(self, account: str) -> bool:
        """Whether an account has more than its share."""
        own = self._requests.get(account, 0)
        busy = len(self._requests)
        if own < _LEAST_REQUESTS or busy < 2:
            return False
        return own > MAX_SHARE_MULTIPLE * self._requests.total() / busy
