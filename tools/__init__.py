"""Tools for building and for the docs."""
