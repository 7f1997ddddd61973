"""Jobs of tasks on pools of workers.

The workers keep no record of the jobs; the holder of a pool does.
"""
