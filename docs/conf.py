"""Sphinx settings of the documentation."""

from __future__ import annotations

project = "eelgrassmount"
html_theme = "alabaster"
exclude_patterns = ["_build"]
