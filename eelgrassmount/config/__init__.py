"""Configuration of request classes and their targets."""
