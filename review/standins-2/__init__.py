"""Stand-ins of the second review: store, machines API, workers and clients."""
