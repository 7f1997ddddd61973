"""Jobs of tasks on pools of workers.

The workers keep no record of the jobs; the holder of a pool does. The holder
is the process of one entry VM (a machine that serves the API) which has the
pool's lease at the time.

A job has steps, and a step has tasks. A job runs its steps once or at
several set times; each time is an occurrence. A run is one attempt at a task
on a worker.
"""
