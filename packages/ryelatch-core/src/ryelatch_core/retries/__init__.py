"""Budgets that limit retries, so that they don't multiply load."""

from ryelatch_core.retries._budget import RetryBudget
from ryelatch_core.retries._budgets import RetryBudgets

__all__ = ['RetryBudget', 'RetryBudgets']
