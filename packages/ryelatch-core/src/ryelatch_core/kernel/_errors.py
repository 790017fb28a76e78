"""Errors of the kernel."""


class KernelError(Exception):
    """A service is missing, doubled, or of another kind than asked for."""
