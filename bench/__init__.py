"""Benchmarks of the product on one machine."""
