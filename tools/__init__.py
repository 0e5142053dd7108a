"""Development tools of the project."""
