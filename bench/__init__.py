"""Measurements of the product on one machine."""
