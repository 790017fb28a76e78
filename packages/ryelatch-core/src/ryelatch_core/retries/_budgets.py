"""Retry budgets of several services."""

import copy
from dataclasses import dataclass, field

from ryelatch_core.retries._budget import RetryBudget


@dataclass(eq=False)
class RetryBudgets:
    """A retry budget for each service, earned by its own requests only.

    With one budget for all, the requests of a large service would pay for
    retries that overload a small one.

    :param unused: the budget of a service that has had no request yet.
    """

    unused: RetryBudget
    _budgets: dict[str, RetryBudget] = field(default_factory=dict)

    def get(self, service: str) -> RetryBudget:
        """Return the budget of a service."""
        if service not in self._budgets:
            self._budgets[service] = copy.copy(self.unused)
        return self._budgets[service]

    @property
    def left(self) -> float:
        """Retries that may be made now for the service with the fewest."""
        return min(budget.left for budget in self._list_all())

    def resize(self, ratio: float, reserve: float, rate: float) -> None:
        """Change the parameters of all budgets."""
        for budget in self._list_all():
            budget.resize(ratio, reserve, rate)

    def refill(self, seconds: float) -> None:
        """Add the retries that the rates yield over some seconds."""
        for budget in self._list_all():
            budget.refill(seconds)

    def _list_all(self) -> list[RetryBudget]:
        return [self.unused, *self._budgets.values()]
