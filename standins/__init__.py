"""Stand-ins for external systems, used by the demo, tests and benchmarks.

Each stand-in is a small HTTP server that can inject faults. They take the
place of the platform, of backend servers and of workers.
"""
