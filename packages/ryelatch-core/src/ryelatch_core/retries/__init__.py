"""Budgets that keep retries from becoming a storm."""

from ryelatch_core.retries._budget import RetryBudget
from ryelatch_core.retries._digest import digest_request

__all__ = ['RetryBudget', 'digest_request']
