"""Programs for those who work on the project."""
