"""Kernel, settings and decisions of ryelatch; nothing here does I/O."""
