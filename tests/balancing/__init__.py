"""Tests of the balancing between backend servers."""
