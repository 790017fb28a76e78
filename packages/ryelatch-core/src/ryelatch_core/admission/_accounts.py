"""Detects client accounts that have more requests in progress than their share.

When one account sends many times its usual traffic and requests are served in
order of arrival, the other accounts get fewer places the larger the surge is.
An account above its share may therefore use only a part of each concurrency
window, and the remainder stays free for the accounts below theirs. The share
of an account is the number of requests in progress at this node, divided by
the number of accounts that have any.
"""

from collections import Counter

MAX_SHARE_MULTIPLE = 2.5
"""Multiple of its equal share above which an account is limited.

Accounts differ in size: the largest of ten mostly has twice an equal share.
With a lower limit, accounts with unchanged traffic were refused more often
than others in each surge.
"""

_MIN_REQUESTS = 3
"""Requests in progress below which no account is limited."""


class AccountTracker:
    """Counts the requests of each client account in progress at this node."""

    def __init__(self) -> None:
        self._requests: Counter[str] = Counter()

    def add(self, account: str) -> None:
        """Record a request that was admitted."""
        self._requests[account] += 1

    def remove(self, account: str) -> None:
        """Record that an admitted request has finished."""
        self._requests[account] -= 1
        if self._requests[account] <= 0:
            del self._requests[account]

    def exceeds_share(self, account: str) -> bool:
        """Return whether an account exceeds its share."""
        requests = self._requests.get(account, 0)
        active = len(self._requests)
        if requests < _MIN_REQUESTS or active < 2:
            return False
        return requests > MAX_SHARE_MULTIPLE * self._requests.total() / active
