"""The ryelatch router: one process on each entry VM."""
