"""Benchmarks."""
