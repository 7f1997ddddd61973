"""Stand-ins for the outside systems, for the demo, tests and bench."""
