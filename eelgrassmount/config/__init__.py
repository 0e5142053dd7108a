"""Configuration of the classes of work."""
