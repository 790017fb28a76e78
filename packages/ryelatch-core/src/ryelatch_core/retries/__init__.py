"""Budgets that limit retries, so that they don't multiply load."""

from ryelatch_core.retries._budget import RetryBudget

__all__ = ['RetryBudget']
