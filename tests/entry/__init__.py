"""Tests of the admission of client requests."""
