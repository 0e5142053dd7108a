"""The log service of the platform."""
