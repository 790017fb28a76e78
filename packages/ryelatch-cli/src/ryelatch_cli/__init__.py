"""The operators' command line of ryelatch."""
