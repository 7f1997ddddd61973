Feature: The log tells from a job's id why it is lost or stands still
  An accepted job is traced from its acknowledgement to its stored end.

  Background:
    Given the log is recorded

  Scenario Outline: A job that is <way>
    Given an inbox of a pool
    And the store has a job of 0.7 seconds ago with progress of version <progress>
    When the inbox is <event>
    And the inbox is told again of the job
    Then a line "job loaded" says
      | field     | value            |
      | job       | 00000000000000aa |
      | queue     | checks           |
      | pool      | count            |
      | epoch     | 7                |
      | version   | <version>        |
      | progress  | <progress>       |
      | recovered | <recovered>      |
      | age       | 0.7              |
    And 1 lines "job loaded" are written

    Examples:
      | way                           | event           | progress | version | recovered |
      | accepted while the pool runs  | told of the job | 0        | 1       | False     |
      | taken over before it started  | recovered       | 0        | 1       | True      |
      | taken over after it started   | recovered       | 2        | 1       | True      |

  Scenario: More jobs are taken over than lines are written for
    Given an inbox of a pool
    And the store has 130 jobs
    When the inbox is recovered
    Then 100 lines "job loaded" are written
    And 2 lines "jobs loaded" are written
    And a line "jobs loaded" says
      | field | value                                                                                                                                                                                                   |
      | jobs  | 0000000000000078/121 0000000000000079/122 000000000000007a/123 000000000000007b/124 000000000000007c/125 000000000000007d/126 000000000000007e/127 000000000000007f/128 0000000000000080/129 0000000000000081/130 |
      | pool  | count                                                                                                                                                                                                   |

  Scenario Outline: A cancellation of a job that <state>
    Given an inbox of a pool
    And the store has a job of 0.7 seconds ago with progress of version 0
    When the job <state>
    And the inbox is told of its cancellation
    Then a line "job cancellation loaded" says
      | field   | value            |
      | job     | 00000000000000aa |
      | pool    | count            |
      | version | 5                |
      | effect  | <effect>         |

    Examples:
      | state              | effect                             |
      | is loaded          | cancelling                         |
      | has been cancelled | job has ended: cancelled           |
      | is unknown         | job is not loaded; removing the row |

  Scenario: A row that can't be decoded is skipped
    Given an inbox of a pool
    When the inbox is told of a row that is no job
    Then a line "job row skipped: not decodable" says
      | field   | value            |
      | job     | 00000000000000aa |
      | pool    | count            |
      | version | 4                |
    And no line "job loaded" is written

  # Guards against a job that another process removes without a trace here.
  Scenario: The row of a job that has not ended is removed
    Given an inbox of a pool
    And the store has a job of 0.7 seconds ago with progress of version 0
    When the job is loaded
    And the inbox is told that its row was removed
    Then a line "row of a loaded job removed" says
      | field      | value            |
      | job        | 00000000000000aa |
      | pool       | count            |
      | lease_held | True             |

  # Guards against a job that stands still without a line that says why.
  Scenario Outline: A task that has not started, as <condition>
    Given a pool with 2 workers
    And a job of 1 tasks of 1 core
    And <condition>
    When 3.5 seconds pass
    And the polls of all responsive workers are answered
    And the stalled tasks are reported
    Then a line "task has not started" says
      | field   | value                  |
      | task    | 00000000000000aa.0.0.0 |
      | pool    | count                  |
      | waited  | 3.5                    |
      | lasting | False                  |
      | why     | <why>                  |
      | details | <details>              |
    And the metrics have
      | series                                    | value |
      | pool_stalled_tasks{pool="count"}          | 1     |
      | pool_oldest_stalled_seconds{pool="count"} | 3.5   |
    When the pool is planned
    Then 0 starts are ordered

    Examples:
      | condition                                 | why                                        | details                             |
      | the workers are unresponsive, cordoned    | no usable worker                           | usable=0 cordoned=1 unresponsive=1  |
      | the workers are quarantined, full         | no usable worker                           | usable=0 full=1 quarantined=1       |
      | the workers are not fenced, terminated    | no usable worker                           | usable=0 not_fenced=1 terminated=1  |
      | the workers are not persisted, taken out  | no usable worker                           | usable=0 not_persisted=1 taken_out=1 |
      | the workers are unregistered, unregistered | no usable worker                          | usable=0 unregistered=2             |
      | the workers are occupied, occupied        | no worker with room                        | cores=1 memory=100 usable=2         |
      | the workers are occupied, cordoned        | no worker with room                        | cores=1 memory=100 usable=1 cordoned=1 |
      | its step may run no more tasks on a worker | worker limit of the step                  | usable=2                            |
      | its team has no grant                     | no grant of the team's limit               | tally                               |
      | its queue has a policy without a ticket   | no ticket of the policy                    | not asked                           |
      | its queue has a policy that allows w9     | no ticket of the policy                    | for none of 2 usable workers        |
      | its last start was invalid                | its last start was rejected as invalid     |                                     |
      | its start is under way                    | start is under way                         | 7000001@w1                          |
      | its start was not answered                | start not answered, outcome unknown        | 7000001@w1                          |

  Scenario: A recovered task waits for a worker of the earlier holder
    Given a pool with 2 workers
    And a job of 1 tasks of 1 core from before the take-over
    And worker "w2" has not answered yet
    When 3.5 seconds pass
    And the stalled tasks are reported
    Then a line "task has not started" says
      | field     | value                 |
      | why       | recovery not complete |
      | details   | w2                    |
      | recovered | True                  |

  Scenario: A task whose worker does not answer
    Given a pool with 2 workers
    And a job of 1 tasks of 1 core
    When the pool is planned
    And all runs are listed as running
    And the worker of the run is unresponsive for 3.5 seconds
    And the stalled tasks are reported
    Then a line "task has not started" says
      | field   | value                      |
      | why     | its worker does not answer |
      | details | 7000001@w1 heard=3.500     |
      | waited  | 3.5                        |

  Scenario: A pool whose lease is not held
    Given a pool with 1 workers
    And a job of 1 tasks of 1 core
    When 3.5 seconds pass
    And the stalled tasks are reported without the lease
    Then a line "task has not started" says
      | field | value               |
      | why   | pool lease not held |

  Scenario: A task that nothing keeps from starting
    Given a pool with 1 workers
    And a job of 1 tasks of 1 core
    When 3.5 seconds pass
    And the polls of all responsive workers are answered
    And the stalled tasks are reported
    Then a line "task has not started" says
      | field | value                                        |
      | why   | not reached: other steps come first in a round |
    When the pool is planned
    Then 1 starts are ordered

  Scenario: A task that failed on every worker is kept from none
    Given a pool with 2 workers
    And a job of 1 tasks of 1 core
    And the task has failed on both workers
    When 3.5 seconds pass
    And the polls of all responsive workers are answered
    And the stalled tasks are reported
    Then a line "task has not started" says
      | field | value                                          |
      | why   | not reached: other steps come first in a round |
    When the pool is planned
    Then 1 starts are ordered

  Scenario: A job of which a task runs is not stalled
    Given a pool with 1 workers
    And a job of 17 tasks of 1 core
    When the pool is planned
    And all runs are listed as running
    And 3.5 seconds pass
    And the polls of all responsive workers are answered
    And the stalled tasks are reported
    Then no line "task has not started" is written
    And the metrics have
      | series                                    | value |
      | pool_stalled_tasks{pool="count"}          | 0     |
      | pool_oldest_stalled_seconds{pool="count"} | 0     |

  Scenario: Each long-running task is watched by itself
    Given a pool with 2 workers
    And a job of 5 long-running tasks, of which 1 may be unavailable
    When the pool is planned
    And all runs are listed as running
    And 3.5 seconds pass
    And the polls of all responsive workers are answered
    And the stalled tasks are reported
    Then 1 lines "task has not started" are written
    And a line "task has not started" says
      | field   | value                    |
      | task    | 00000000000000aa.0.0.4   |
      | lasting | True                     |
      | why     | worker limit of the step |

  Scenario: The wait is counted from the last run of the job
    Given a pool with 2 workers
    And a job of 1 tasks of 1 core
    When the pool is planned
    And all runs are listed as running
    And 9.0 seconds pass
    And its run is listed as failed
    And 2.5 seconds pass
    And the stalled tasks are reported
    Then no line "task has not started" is written
    When 1.0 seconds pass
    And the stalled tasks are reported
    Then a line "task has not started" says
      | field    | value   |
      | waited   | 3.5     |
      | last_run | 7000001 |

  # Guards against a wait that starts anew with each rejected start.
  Scenario: A start that is rejected does not end the wait
    Given a pool with 1 workers
    And a job of 1 tasks of 1 core
    When 2.0 seconds pass
    And the polls of all responsive workers are answered
    And the pool is planned
    And the start is rejected as full
    And 2.0 seconds pass
    And the stalled tasks are reported
    Then a line "task has not started" says
      | field  | value |
      | waited | 4.0   |

  Scenario: The lines of stalled tasks are few
    Given a pool with 1 workers
    And 30 jobs of 1 tasks of 1 cores
    And the workers are cordoned
    When 3.5 seconds pass
    And the stalled tasks are reported
    Then 20 lines "task has not started" are written
    And a line "more tasks have not started" says
      | field   | value |
      | tasks   | 10    |
      | stalled | 30    |
    When 1.0 seconds pass
    And the stalled tasks are reported
    Then 30 lines "task has not started" are written
    And 1 lines "more tasks have not started" are written
    When 5.0 seconds pass
    And the stalled tasks are reported
    Then 50 lines "task has not started" are written

  Scenario: A job that has nothing left to start and has not ended
    Given a pool with 1 workers
    And a job of 1 tasks of 1 core
    When the pool forgets the steps of the job
    And the stalled tasks are reported
    Then a line "jobs have not ended and nothing of them is left to start" says
      | field | value            |
      | pool  | count            |
      | jobs  | 00000000000000aa |

  Scenario: Stalled tasks are reported with the status of the pool
    Given a pool with 1 workers whose polls are answered
    And a job of 1 tasks of 1 core
    And the workers are cordoned
    When 3.5 seconds pass
    And the status of the pool is reported after a pause that was 0.0 s too long
    Then 1 lines "task has not started" are written

  # Guards against a loop that ends and leaves no trace.
  Scenario Outline: The <loop> ends with an exception
    When the <loop> meets a fault of the program
    Then a line "background task failed" says
      | field  | value                   |
      | what   | <what>                  |
      | pool   | <pool>                  |
      | worker | <worker>                |
      | task   | <task>                  |
      | why    | ValueError('a mistake') |
    And it names the line of the fault

    Examples:
      | loop                       | what                       | pool  | worker | task                   |
      | loop of a worker           | worker loop                | count | w1     | None                   |
      | start of a task            | order Start                | count | w1     | 00000000000000aa.0.0.0 |
      | request for tickets        | order RequestTickets       | count | None   | None                   |
      | renewal of a lease         | lease renewal              | count | None   | None                   |
      | move of a machine          | machine move               | count | None   | None                   |
      | watch of the configuration | watch of the configuration | None  | None   | None                   |
      | watch of the registrations | watch of the registrations | None  | None   | None                   |
      | claims of leases           | claims of leases           | None  | None   | None                   |

  Scenario: A loop that is stopped is not reported
    When the loop of a worker is stopped
    Then no line "background task failed" is written

  # Guards against a task that takes down one worker after another unseen.
  Scenario: A worker that is lost under its runs names each of them once
    Given a pool with 1 workers
    And a job of 2 tasks of 1 core
    When the pool is planned
    And all runs are listed as running
    And 2.0 seconds pass
    And a job of 1 tasks of priority 0 arrives
    And the pool is planned
    And 0.5 seconds pass
    And worker "w1" is lost, as "its machine is down"
    Then a line "runs lost with their worker" says
      | field      | value               |
      | pool       | count               |
      | worker     | w1                  |
      | life_start | 1                   |
      | why        | its machine is down |
      | heard      | 2.500               |
      | count      | 3                   |
      | runs       | 00000000000000bb.0.0.0/7000003:sent:0.500 00000000000000aa.0.0.0/7000001:running:2.500 00000000000000aa.0.0.1/7000002:running:2.500 |
    And the metrics have
      | series                                                                | value |
      | runs_lost{pool="count",reason="its machine is down",state="running"}  | 2     |
      | runs_lost{pool="count",reason="its machine is down",state="sent"}     | 1     |
    When worker "w1" is lost, as "its machine is down"
    Then 1 lines "runs lost with their worker" are written

  Scenario: A worker that answers as another incarnation has lost its runs
    Given a pool with 1 workers
    And a job of 1 tasks of 1 core
    When the pool is planned
    And all runs are listed as running
    And 1.0 seconds pass
    And worker "w1" lists no runs as incarnation 2
    Then a line "runs lost with their worker" says
      | field  | value                                        |
      | why    | worker restarted                             |
      | learnt | its listing                                  |
      | runs   | 00000000000000aa.0.0.0/7000001:running:1.000 |
    And the metrics have
      | series                                                            | value |
      | runs_lost{pool="count",reason="worker restarted",state="running"} | 1     |

  Scenario: A worker whose loss is learnt from the list of machines
    Given a pool with 1 workers whose polls are answered
    And a job of 1 tasks of 1 core
    When the pool is planned
    And all runs are listed as running
    And 1.0 seconds pass
    And the poll of worker "w1" is not answered and "no machine runs it"
    Then a line "runs lost with their worker" says
      | field  | value                   |
      | why    | no machine runs it      |
      | learnt | list of 5 machines, now |

  Scenario Outline: A worker that is silent for <seconds> seconds
    Given a pool with 1 workers whose polls are answered
    And a job of 1 tasks of 1 core
    When the pool is planned
    And all runs are listed as running
    And the worker <state>
    And a poll of worker "w1" is not answered
    And <seconds> seconds pass
    And a poll of worker "w1" is not answered
    Then a line "runs lost with their worker" says
      | field  | value                     |
      | why    | <why>                     |
      | learnt | 2 polls without an answer |
    And 1 lines "runs lost with their worker" are written

    Examples:
      | state                      | seconds | why                           |
      | has accepted the epoch     | 13.0    | its lease has lapsed          |
      | has not accepted the epoch | 20.0    | silent beyond order and lease |

  Scenario: A worker that ends without runs
    Given a pool with 1 workers
    When worker "w1" is lost, as "its machine is down"
    Then no line "runs lost with their worker" is written

  Scenario: The line of a lost worker is bounded
    Given a pool with 1 workers that holds 50 runs
    When worker "w1" is lost, as "its machine is down"
    Then a line "runs lost with their worker" says
      | field | value |
      | count | 50    |
    And its field "runs" names 40 tasks and 10 others

  # Guards against a request that a stopping process cuts without a trace.
  Scenario: A process stops while requests are in progress
    Given an HTTP server that answers "/slow/1" only when it is told to
    And a client that has sent a request for "/slow/1"
    And a client that reads no answer of a request for "/large"
    And a client that has sent no request
    When the drain ends 0.5 seconds later
    Then a line "drain ended, stopping" says
      | field       | value |
      | cut         | 1     |
      | unwritten   | 1     |
      | connections | 3     |
    And 2 lines "request cut at shutdown" are written
    And a line "request cut at shutdown" says
      | field    | value   |
      | method   | GET     |
      | path     | /slow/1 |
      | answered | False   |
    And a line "request cut at shutdown" says
      | field    | value  |
      | path     | /large |
      | answered | True   |
    And its age is between 0.4 and 2.0 seconds

  Scenario: A process stops when all requests are answered
    Given an HTTP server that answers "/slow/1" only when it is told to
    And a client that has sent a request for "/slow/1"
    When the request is answered
    And the drain ends 0.5 seconds later
    Then a line "drain ended, stopping" says
      | field       | value |
      | cut         | 0     |
      | unwritten   | 0     |
      | connections | 1     |
    And no line "request cut at shutdown" is written
