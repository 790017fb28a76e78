"""Configuration of Sphinx for these docs."""

project = 'ryelatch'
extensions = ['myst_parser']
myst_heading_anchors = 3
exclude_patterns = ['*.template.md']
html_theme = 'alabaster'
