Feature: The holder of a pool starts each task once and loses none
  A worker carries out every start, so the holder's record of it must prevent
  duplicates. A start without an answer may take effect seconds later.

  Scenario: A worker is never given more than its capacity
    Given a pool with 2 workers
    And a job of 40 tasks of 1 core
    When the pool is planned
    Then 32 starts are ordered
    And no worker has more than 16 cores in use

  Scenario: A run that is being stopped still reserves capacity
    Given a pool with 1 workers
    And a job of 17 tasks of 1 core
    When the pool is planned
    And one run is being stopped
    And the pool is planned
    Then 16 starts are ordered

  Scenario: A step waits until all tasks of the earlier step are done
    Given a pool with 1 workers
    And a job of 2 tasks and then 3 tasks
    When the pool is planned
    And all runs are listed as running
    And 1 of them is listed as done
    And the pool is planned
    Then 2 starts are ordered
    When the rest are listed as done
    And the pool is planned
    Then 5 starts are ordered

  Scenario Outline: An unanswered start, then <event>
    Given a pool with 2 workers
    And a job of 1 tasks of 1 core
    When the pool is planned
    And the start gets no answer
    And <event>
    And the pool is planned
    Then the task may run <times> times at most
    And <starts> starts are ordered

    Examples:
      | event                                               | times | starts |
      | nothing is received for 1 seconds                   | 1     | 1      |
      | the worker lists no runs                            | 1     | 1      |
      | the worker answers a stop and lists no runs         | 1     | 2      |
      | the worker lists no runs after the start's deadline | 1     | 2      |
      | the worker lists the run                            | 1     | 1      |
      | a new incarnation of the worker lists no runs       | 1     | 1      |
      | the worker's lease has expired after 7 seconds      | 1     | 1      |
      | the worker's lease has expired after 13 seconds     | 1     | 2      |

  # Guards against a second run of a task whose first one started unanswered
  # and ended as done, with its end on a later page of the worker's list.
  Scenario Outline: An unanswered start, then <event>, and more ends follow
    Given a pool with 2 workers
    And a job of 1 tasks of 1 core
    When the pool is planned
    And the start gets no answer
    And <event>, and more ends follow
    And the pool is planned
    Then the task may run 1 times at most
    And 1 starts are ordered
    When the next listing has the end of the run as done
    Then the job is complete

    Examples:
      | event                                               |
      | the worker answers a stop and lists no runs         |
      | the worker lists no runs after the start's deadline |

  Scenario Outline: A task on an unresponsive worker, copies being <copies>
    Given a pool with 2 workers
    And a job of 1 tasks of 1 core, copies being <copies>
    When the pool is planned
    And all runs are listed as running
    And the worker of the run is unresponsive for <seconds> seconds
    And the pool is planned
    And the pool is planned
    Then <starts> starts are ordered

    Examples:
      | copies    | seconds | starts |
      | allowed   | 0.5     | 1      |
      | allowed   | 1.5     | 2      |
      | forbidden | 1.5     | 1      |

  Scenario: The other copy of a task that is done is stopped
    Given a pool with 2 workers
    And a job of 1 tasks of 1 core, copies being allowed
    When the pool is planned
    And all runs are listed as running
    And the worker of the run is unresponsive for 1.5 seconds
    And the pool is planned
    And the copy is listed as done
    And the pool is planned
    Then the job is complete
    And 1 stops are ordered

  Scenario: A failed run that is listed again counts once
    Given a pool with 1 workers
    And a job of 1 tasks of 1 core
    When the pool is planned
    And its run is listed as failed
    And another holder takes the pool and the end is listed again
    Then the task has 1 failed run

  Scenario: A job fails after as many failed runs as its queue allows
    Given a pool with 1 workers
    And a job of 1 tasks of 1 core
    When the task fails 2 times
    Then the job has not ended
    When the task fails 1 times
    Then the job has failed

  Scenario: After a take-over, tasks wait for workers that did not answer
    Given a pool with 2 workers
    And a job of 2 tasks of 1 core from before the take-over
    And worker "w2" has not answered yet
    When the pool is planned
    Then 0 starts are ordered
    When worker "w2" answers
    And the pool is planned
    Then 2 starts are ordered

  # Guards against a second run of a task that ended as done under an earlier
  # holder, with its end on a later page of the worker's list.
  Scenario: After a take-over, tasks wait for all ends that a worker lists
    Given a pool with 2 workers
    And a job of 2 tasks of 1 core from before the take-over
    And worker "w2" has not answered yet
    When worker "w2" answers with 1 end, and more ends follow
    And the pool is planned
    Then 0 starts are ordered
    When worker "w2" answers with 0 ends
    And the pool is planned
    Then 2 starts are ordered

  Scenario: After a take-over, tasks wait while a worker stays unresponsive
    Given a pool with 2 workers
    And a job of 2 tasks of 1 core from before the take-over
    And worker "w2" has not answered yet
    And polls of worker "w2" are not answered
    When 6.0 seconds pass
    And the pool is planned
    Then 0 starts are ordered
    When 1.0 seconds pass
    And the pool is planned
    Then 2 starts are ordered

  Scenario: A long-running task is unavailable until it has started up
    Given a pool with 2 workers
    And a job of 2 long-running tasks, of which 1 may be unavailable
    When the pool is planned
    And the workers accept all starts
    Then 2 of its tasks are unavailable
    When all runs are listed as running at 40 per cent
    Then 2 of its tasks are unavailable
    When all runs are listed as running at 100 per cent
    Then 0 of its tasks are unavailable

  Scenario Outline: Long-running tasks on a cordoned worker, <away> others unavailable
    Given a pool with 4 workers
    And a job of 3 long-running tasks, one per worker, of which 1 may be unavailable
    When the pool is planned
    And all runs are listed as running at 100 per cent
    And <away> of the others are unavailable
    And the worker of the first is cordoned for maintenance
    And the pool is planned
    Then <stops> stops are ordered

    Examples:
      | away | stops |
      | 0    | 1     |
      | 1    | 0     |

  Scenario: A task that starts up is not stopped while another is unavailable
    Given a pool with 4 workers
    And a job of 3 long-running tasks, one per worker, of which 1 may be unavailable
    When the pool is planned
    And all runs are listed as running at 100 per cent
    And 2 of them are listed as running at 60 per cent
    And the worker of one that starts up is cordoned for maintenance
    And the pool is planned
    Then 0 stops are ordered

  # Guards against a stop beside a task whose worker has crashed or is cut off.
  Scenario Outline: Another long-running task's worker is silent for <silent> s
    Given a pool with 4 workers
    And a job of 3 long-running tasks, one per worker, of which 1 may be unavailable
    When the pool is planned
    And all runs are listed as running at 100 per cent
    And the worker of another has been silent for <silent> seconds
    And the worker of the first is cordoned for maintenance
    And the pool is planned
    Then <stops> stops are ordered

    Examples:
      | silent | stops |
      | 0.5    | 1     |
      | 3      | 0     |

  # Guards against a stop beside that of a worker that shuts down, whose tasks
  # end in any case.
  Scenario Outline: Two workers with tasks of one step, <order> to be planned
    Given a pool with 4 workers
    And a job of 3 long-running tasks, one per worker, of which 1 may be unavailable
    When the pool is planned
    And all runs are listed as running at 100 per cent
    And the worker of the <cordoned> run is cordoned for maintenance
    And the worker of the <draining> run begins to drain
    And the pool is planned
    Then only the <draining> run is stopped

    Examples:
      | order              | cordoned | draining |
      | the cordoned first | first    | last     |
      | the draining first | last     | first    |

  Scenario Outline: A worker shuts down <after> s after another task was stopped
    Given a pool with 4 workers
    And a job of 3 long-running tasks, one per worker, of which 1 may be unavailable
    When the pool is planned
    And all runs are listed as running at 100 per cent
    And the worker of the first run is cordoned for maintenance
    And the pool is planned
    And the worker of the last run begins to drain
    And <after> seconds pass while the workers answer
    And the pool is planned
    Then <stopped>

    Examples: the stop of the other may still be on its way
      | after | stopped                             |
      | 0.1   | only the first run is stopped       |
      | 1.6   | the first and last runs are stopped |

  Scenario Outline: A new holder drains a worker <after> s after its first poll
    Given a pool with 4 workers
    And a job of 3 long-running tasks, one per worker, of which 1 may be unavailable
    When the pool is planned
    And all runs are listed as running at 100 per cent
    And the workers accepted the epoch just now
    And <after> seconds pass
    And all runs are listed as running at 100 per cent
    And the worker of the first is cordoned for maintenance
    And the pool is planned
    Then <stops> stops are ordered

    Examples: a stop of the earlier holder takes 0.4 s to show
      | after | stops |
      | 0.3   | 0     |
      | 0.5   | 1     |

  # Guards against room that counts as used up for the rest of a round, as a
  # step may not have more tasks on a worker.
  Scenario: A step meets its limit of tasks per worker beside free room
    Given a pool with 2 workers
    And a job of 3 long-running tasks with at most 1 per worker
    And 2 jobs of 1 tasks of 1 cores
    When the pool is planned
    Then 4 starts are ordered

  Scenario: Long-running tasks are packed on few workers
    Given a pool with 4 workers
    And a job of 4 long-running tasks, of which 1 may be unavailable
    When the pool is planned
    Then 4 starts are ordered
    And 2 workers have a run

  Scenario: A gang starts together or not at all
    Given a pool with 1 workers
    And a gang of 17 tasks of 1 core
    When the pool is planned
    Then 0 starts are ordered
    When a worker joins
    And the pool is planned
    Then 17 starts are ordered
    And all runs have the same number

  Scenario: No more tasks of a step on one worker than it allows
    Given a pool with 2 workers
    And a job of 5 tasks with at most 2 per worker
    When the pool is planned
    Then 4 starts are ordered

  Scenario: A task of higher priority preempts one of lower priority
    Given a pool with 1 workers
    And a job of 16 tasks of 1 core
    When the pool is planned
    And all runs are listed as running
    And a job of 1 tasks of priority 0 arrives
    And the pool is planned
    Then 1 stops are ordered

  Scenario: Nothing starts in a data centre that was taken out
    Given a pool with 1 workers
    And a job of 2 tasks of 1 core
    When data centre "north" is taken out
    And the pool is planned
    Then 0 starts are ordered

  Scenario: Nothing starts on a draining worker
    Given a pool with 1 workers
    And a job of 2 tasks of 1 core
    When worker "w1" is draining
    And the pool is planned
    Then 0 starts are ordered

  Scenario: A cancelled job starts no more tasks and its runs are stopped
    Given a pool with 1 workers
    And a job of 17 tasks of 1 core
    When the pool is planned
    And all runs are listed as running
    And the job is cancelled
    And the pool is planned
    Then 16 starts are ordered
    And 16 stops are ordered

  Scenario: An occurrence starts when it is due, not before
    Given a pool with 1 workers
    And a job of 1 tasks that runs 3 times from second 1000 every 10
    When the wall clock shows second 999
    And the pool is planned
    Then 0 starts are ordered
    When the wall clock shows second 1011
    And the pool is planned
    Then 2 starts are ordered

  Scenario: Best-effort tasks are throttled while they slow others
    Given a pool with 1 workers
    And a job of a task with a target of 0.1 seconds and 2 best-effort tasks
    When the pool is planned
    Then best-effort tasks are throttled to "50, 25, 0, 0" per cent as it responds in
      | seconds | tail |
      | 0.6     | 0.2  |
      | 1.2     | 0.2  |
      | 1.8     | 0.2  |
      | 2.4     | 0.2  |
    And best-effort tasks are throttled to "0, 0, 20, 40" per cent as it responds in
      | seconds | tail |
      | 3.0     | 0.05 |
      | 4.0     | 0.05 |
      | 5.0     | 0.05 |
      | 6.0     | 0.05 |

  Scenario: A run of an unknown job reserves an unknown capacity
    Given a pool with 1 workers
    And a job of 2 tasks of 1 core
    When worker "w1" lists a run of an unknown job
    And the pool is planned
    Then 0 starts are ordered
    And 1 stops are ordered
    When worker "w1" lists the end of that run
    And the pool is planned
    Then 2 starts are ordered

  Scenario: A lease given by an earlier holder is taken into account
    Given a pool with 0 workers
    And a job of 1 tasks of 1 core
    When a worker that was not polled before lists a run of the job
    Then its lease has not expired after 5.9 seconds without a poll
    And its lease has expired after 6.5 seconds without a poll

  Scenario Outline: With capacity for one task: job a <first>, job b <second>
    Given a pool with capacity for 1 task
    And a job "a" that <first>
    And a job "b" that <second>
    When the pool is planned
    Then only job "a" has a run

    Examples:
      | first                        | second                                   |
      | was accepted 0.5 seconds ago | was accepted just now                    |
      | was accepted just now        | was accepted 9 seconds ago               |
      | was accepted just now        | was accepted 1.1 seconds ago             |
      | was accepted just now        | is the third of its team within a second |

  Scenario: A failed task waits for a worker on which it has not failed
    Given a pool with 2 workers
    And a job of 1 tasks of 1 core
    When the pool is planned
    And its run is listed as failed
    And the other worker has no free capacity
    And the pool is planned
    Then 1 starts are ordered
    When the other worker has free capacity again
    And the pool is planned
    Then 2 starts are ordered

  Scenario Outline: At <progress> % after <after> s, others took <others> s
    Given a pool with 2 workers
    And a job of 20 tasks of 1 core
    When the pool is planned
    And all runs are listed as running
    And <others> seconds pass
    And all runs but one of the first worker are done
    And it is listed at <progress> per cent after <after> seconds
    And the pool is planned
    Then <stops> stops are ordered

    Examples:
      | others | after | progress | stops |
      | 1.0    | 2.0   | 0        | 1     |
      | 1.0    | 2.0   | 10       | 1     |
      | 1.0    | 2.0   | 70       | 0     |
      | 1.9    | 2.0   | 40       | 0     |
      | 5.0    | 6.0   | 41       | 0     |
      | 5.0    | 6.0   | 20       | 1     |

  Scenario: A straggler is restarted only once
    Given a pool with 2 workers
    And a job of 20 tasks of 1 core
    When the pool is planned
    And all runs are listed as running
    And 1.0 seconds pass
    And all runs but one of the first worker are done
    And the task was restarted before
    And it is listed at 0 per cent after 2.0 seconds
    And the pool is planned
    Then 0 stops are ordered

  # Guards against a holder that plans for so long that it serves nobody.
  Scenario: A round of a full pool reads each worker's room a few times only
    Given a pool with 20 workers
    And 60 jobs of 8 tasks of 4 cores
    When the pool is planned
    And the pool is planned while reads of free capacity are counted
    Then each worker's free capacity was read 2 times at most

  # Guards against a holder that plans for so long that it serves nobody.
  Scenario Outline: The pause after a round of <took> s
    Then planning pauses for <pause> s after a round of <took> s

    Examples:
      | took  | pause |
      | 0.001 | 0.004 |
      | 0.3   | 0.3   |

  # Guards against a long-running task that stays away beside free workers.
  Scenario: A long-running task returns to the only worker that can take it
    Given a pool with 2 workers
    And a job of 3 long-running tasks with at most 2 per worker
    When the pool is planned
    And the workers accept all starts
    And all runs are listed as running
    And the run that is alone on its worker fails
    And the pool is planned
    Then 4 starts are ordered

  # Guards against a task that fails again where all tasks fail.
  Scenario: Another task waits for room on a worker on which it has not failed
    Given a pool with 2 workers
    And 2 jobs of 1 tasks of 16 cores
    When the pool is planned
    And the workers accept all starts
    And one run fails
    And the pool is planned
    Then 2 starts are ordered
