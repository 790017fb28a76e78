"""Command line of ryelatch for operators."""
