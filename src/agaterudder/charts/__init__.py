"""State charts of the life cycles, in files that the code interprets."""
