"""Budgets that keep retries from becoming a storm."""

from ryelatch_core.retries._budget import RetryBudget

__all__ = ['RetryBudget']
