"""Errors of the kernel."""


class KernelError(Exception):
    """A service is missing, added twice, or of an unexpected class."""
