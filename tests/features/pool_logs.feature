Feature: The log tells why a pool started a task
  From the lines alone an on-call engineer sees why tasks waited, why a run
  counted as ended and whether a task was started again.

  Background:
    Given the log is recorded

  Scenario: A recovery that ends as all workers have answered
    Given a pool with 2 workers
    And a job of 2 tasks of 1 core from before the take-over
    And worker "w2" has not answered yet
    When 1.5 seconds pass
    And worker "w2" answers
    And the recovery is complete
    Then a line "pool recovery complete" says
      | field       | value                    |
      | why         | no worker is unconfirmed |
      | took        | 1.5                      |
      | unconfirmed | 0                        |
      | held_back   | 2                        |
    And no line "worker left recovery without an answer" is written

  Scenario: A recovery that ends as time has passed
    Given a pool with 8 workers
    And a job of 3 tasks of 1 core from before the take-over
    And 7 of the workers have not answered yet
    And polls of these workers are not answered
    When 7.0 seconds pass
    And the recovery is complete
    Then a line "pool recovery complete" says
      | field       | value             |
      | why         | time passed       |
      | took        | 7.0               |
      | unconfirmed | 7                 |
      | missing     | w1 w2 w3 w4 w5 +2 |
      | held_back   | 3                 |
    And 7 lines "worker left recovery without an answer" are written
    And no worker is unconfirmed

  Scenario: A worker that is not waited for, as its machine is off
    Given a pool with 2 workers
    And worker "w2" has not answered yet
    When 2.0 seconds pass
    And worker "w2" is not waited for, as "no machine runs it"
    Then a line "worker left recovery without an answer" says
      | field      | value                           |
      | worker     | w2                              |
      | why        | no machine runs it              |
      | evidence   | list of 5 machines, 0.250 s old |
      | recovering | 2.0                             |
      | heard      | 2.000                           |

  Scenario: A worker that is lost with its runs
    Given a pool with 1 workers
    And a job of 7 tasks of 1 core
    When the pool is planned
    And all runs are listed as running
    And 3.0 seconds pass
    And worker "w1" is lost, as "its machine is down"
    Then a line "worker lost, dropping its runs" says
      | field | value               |
      | why   | its machine is down |
      | heard | 3.000               |
      | runs  | 7                   |
    And its field "tasks" names 5 tasks and 2 others
    And 7 lines "run removed without a listed end" are written
    And a line "run removed without a listed end" says
      | field  | value                  |
      | task   | 00000000000000aa.0.0.0 |
      | why    | its machine is down    |
      | state  | running                |
      | worker | w1                     |

  Scenario Outline: A run that <event> has ended without a listed end
    Given a pool with 1 workers
    And a job of 1 tasks of 1 core
    When the pool is planned
    And the start gets no answer
    And <event>
    Then a line "run removed without a listed end" says
      | field | value                  |
      | task  | 00000000000000aa.0.0.0 |
      | why   | <why>                  |

    Examples:
      | event                                               | why                       |
      | the worker lists no runs after the start's deadline | not listed: start expired |
      | the worker answers a stop and lists no runs         | not listed: stop answered |
      | the worker's lease has expired after 13 seconds     | its lease has expired     |

  Scenario: A run whose end is listed is not removed without one
    Given a pool with 1 workers
    And a job of 1 tasks of 1 core
    When the pool is planned
    And all runs are listed as running
    And the rest are listed as done
    Then no line "run removed without a listed end" is written

  Scenario: A worker that answers as another incarnation
    Given a pool with 1 workers
    And a job of 1 tasks of 1 core
    When the pool is planned
    And all runs are listed as running
    And 1.0 seconds pass
    And worker "w1" lists no runs as incarnation 2
    Then a line "worker restarted as a new incarnation" says
      | field      | value |
      | life_start | 2     |
      | before     | 1     |
      | heard      | 1.000 |
    And a line "run removed without a listed end" says
      | field | value            |
      | why   | worker restarted |

  Scenario: The first start of a task
    Given a pool with 2 workers
    And a job of 2 tasks of 1 core
    When 0.4 seconds pass
    And the pool is planned
    Then a line "task placed" says
      | field  | value   |
      | run    | 7000001 |
      | kind   | first   |
      | ready  | 0.4     |
      | before | None    |
    And the metrics have
      | series                                                 | value |
      | task_starts{kind="first",pool="count"}                 | 2     |
      | first_start_seconds_count{pool="count",queue="checks"} | 1     |
    And the "first_start" median of the queue is 0.4 seconds

  Scenario: More starts within a second than lines are written for
    Given a pool with 10 workers
    And a job of 150 tasks of 1 core
    When the pool is planned
    Then 100 lines "task placed" are written
    And 1 lines "tasks placed" are written
    When the pool is planned
    Then 3 lines "tasks placed" are written
    And 50 starts are written in them, each with its run and worker
    When 1.0 seconds pass
    And the task of one of them fails
    And the pool is planned
    Then 101 lines "task placed" are written

  Scenario: The start of a task of an earlier holder's job
    Given a pool with 2 workers
    And a job of 1 tasks of 1 core from before the take-over
    When the pool is planned
    Then a line "task placed" says
      | field     | value |
      | kind      | first |
      | recovered | True  |

  Scenario: A task that is started again after it failed
    Given a pool with 2 workers
    And a job of 1 tasks of 1 core
    When the pool is planned
    And its run is listed as failed
    And the pool is planned
    Then a line "task placed" says
      | field  | value   |
      | kind   | restart |
      | run    | 7000002 |
      | before | 7000001 |
    And the metrics have
      | series                                                 | value |
      | task_starts{kind="first",pool="count"}                 | 1     |
      | task_starts{kind="restart",pool="count"}               | 1     |
      | first_start_seconds_count{pool="count",queue="checks"} | 1     |

  Scenario: A task that failed under an earlier holder
    Given a pool with 1 workers
    And a job of 1 tasks of 1 core
    When the pool is planned
    And its run is listed as failed
    And another holder takes the pool and the end is listed again
    And the pool is planned
    Then a line "task placed" says
      | field     | value   |
      | kind      | restart |
      | before    | 7000001 |
      | recovered | True    |

  Scenario: A copy of a task on an unresponsive worker
    Given a pool with 2 workers
    And a job of 1 tasks of 1 core, copies being allowed
    When the pool is planned
    And all runs are listed as running
    And the worker of the run is unresponsive for 1.5 seconds
    And the pool is planned
    Then a line "task placed" says
      | field | value |
      | kind  | copy  |
    When the copy is listed as done
    Then no line "task has two runs" is written

  Scenario Outline: A run that was dropped is listed as <how>
    Given a pool with 2 workers
    And a job of 1 tasks of 1 core
    When the pool is planned
    And all runs are listed as running
    And its worker is lost and the task is started on the other
    And the first run is listed as <how>
    Then <count> lines "task has two runs" are written
    And the duplicate runs counted are <count>

    Examples:
      | how     | count |
      | done    | 1     |
      | failed  | 0     |
      | running | 1     |
      | lapsed  | 0     |
      | stopped | 0     |

  Scenario: A task that is done twice
    Given a pool with 2 workers
    And a job of 1 tasks of 1 core
    When the pool is planned
    And all runs are listed as running
    And its worker is lost and the task is started on the other
    And the rest are listed as done
    And the first run is listed as done
    Then a line "task has two runs" says
      | field     | value                  |
      | task      | 00000000000000aa.0.0.0 |
      | run       | 7000001                |
      | worker    | w1                     |
      | how       | done                   |
      | other_run | 7000002                |
      | other     | done                   |

  Scenario: An end that is listed again is no second run
    Given a pool with 1 workers
    And a job of 1 tasks of 1 core
    When the pool is planned
    And its run is listed as failed
    And another holder takes the pool and the end is listed again
    Then no line "task has two runs" is written

  Scenario Outline: The end of a run whose job <state>
    Given a pool with 2 workers
    And a job of 1 tasks of 1 core
    When the pool is planned
    And all runs are listed as running
    And its worker is lost and the task is started on the other
    And the rest are listed as done
    And the job <state>
    And the first run is listed as done
    Then a line "end of unknown task" says
      | field | value                  |
      | task  | 00000000000000aa.0.0.0 |
      | run   | 7000001                |
      | how   | done                   |
      | why   | <why>                  |

    Examples:
      | state                    | why                        |
      | is stored as ended       | job is stored as ended     |
      | is not known to the pool | job is not loaded          |

  Scenario: A job whose end is stored is read again
    Given a pool with 2 workers
    And a job of 1 tasks of 1 core
    When the pool is planned
    And all runs are listed as running
    And the rest are listed as done
    And the job is stored as ended
    And the job is read again
    Then a line "job read again after its end was stored, not loaded" says
      | field | value            |
      | job   | 00000000000000aa |
    And the metrics have
      | series                        | value |
      | ended_jobs_read{pool="count"} | 1     |

  Scenario: The ends of jobs that are stored
    Given a pool with 1 workers
    And a job of 1 tasks of 1 core
    When the pool is planned
    And all runs are listed as running
    And the rest are listed as done
    And the pool's journal is written
    Then a line "job ends stored" says
      | field   | value            |
      | jobs    | 00000000000000aa |
      | version | 2                |

  Scenario: Ends that are acknowledged once they are stored
    Given a pool with 1 workers whose polls are answered
    And the ends are stored after 0.25 seconds
    When worker "w1" is polled and lists the ends 1 to 2
    And the acknowledgements are written
    Then a line "ends acknowledged" says
      | field  | value                                                  |
      | ends   | 2                                                      |
      | waited | 0.25                                                   |
      | polls  | w1/1:0-2=0000000000000001.0.0.0,0000000000000002.0.0.0 |
    And the metrics have
      | series                                 | value |
      | ends_acknowledged{pool="count"}        | 2     |
      | end_stored_seconds_count{pool="count"} | 1     |

  Scenario: An end other than done that is acknowledged
    Given a pool with 1 workers whose polls are answered
    When worker "w1" is polled and lists that a run failed
    And the acknowledgements are written
    Then a line "ends acknowledged" says
      | field | value                                  |
      | polls | w1/1:0-1=0000000000000001.0.0.0:failed |

  Scenario: Ends that are not stored in time
    Given a pool with 1 workers whose polls are answered
    And the ends are not stored within 0.5 seconds
    When worker "w1" is polled and lists the ends 1 to 2
    And worker "w1" is polled and lists the ends 1 to 3
    Then 1 lines "ends not acknowledged: not stored in time" are written
    And a line "ends not acknowledged: not stored in time" says
      | field  | value |
      | worker | w1    |
      | from   | 0     |
      | to     | 2     |
      | waited | 0.5   |
    And 3 ends are not acknowledged
    Given the ends are stored after 0.25 seconds
    When worker "w1" is polled and lists the ends 1 to 3
    And the acknowledgements are written
    Then a line "ends acknowledged" says
      | field  | value |
      | ends   | 3     |
      | waited | 1.25  |
    And 0 ends are not acknowledged

  Scenario: A worker restarts while its ends are being stored
    Given a pool with 1 workers whose polls are answered
    And the worker restarts while its ends are being stored
    When worker "w1" is polled and lists the ends 1 to 2
    And the acknowledgements are written
    Then no line "ends acknowledged" is written
    And no line "ends of another incarnation acknowledged" is written

  Scenario: A worker restarts between two polls
    Given a pool with 1 workers whose polls are answered
    When worker "w1" is polled and lists the ends 1 to 2
    And worker "w1" restarts, is polled and lists no ends
    Then a line "ends of another incarnation acknowledged" says
      | field   | value |
      | ends_of | 1     |
      | sent_to | 2     |
      | upto    | 2     |
    And 1 lines "ends of another incarnation acknowledged" are written

  Scenario: Polls of one incarnation
    Given a pool with 1 workers whose polls are answered
    When worker "w1" is polled and lists the ends 1 to 2
    And worker "w1" is polled and lists the ends 3 to 4
    Then no line "ends of another incarnation acknowledged" is written
    And no line "ends missing from listing" is written

  Scenario: A worker has discarded ends that were not read
    Given a pool with 1 workers whose polls are answered
    When worker "w1" is polled and lists the ends 1 to 2
    And worker "w1" is polled and lists the ends 5 to 6
    Then a line "ends missing from listing" says
      | field        | value |
      | after        | 2     |
      | listed       | 5     |
      | acknowledged | 2     |

  Scenario: Many acknowledged ends fill few lines
    Given a pool with 1 workers whose polls are answered
    When worker "w1" is polled 45 times and lists 9 new ends each time
    And the acknowledgements are written
    Then 3 lines "ends acknowledged" are written
    And each poll in them names 5 tasks and 4 others

  Scenario: An unresponsive worker of an earlier holder whose machine is off
    Given a pool with 2 workers whose polls are answered
    And worker "w2" has not answered yet
    When the poll of worker "w2" is not answered and "no machine runs it"
    Then a line "worker left recovery without an answer" says
      | field    | value                   |
      | worker   | w2                      |
      | why      | no machine runs it      |
      | evidence | list of 5 machines, now |

  Scenario: The status of a pool
    Given a pool with 1 workers whose polls are answered
    And a job of 2 tasks of 1 core
    And worker "w1" has not answered yet
    And the ends are not stored within 0.5 seconds
    When worker "w1" is polled and lists the ends 1 to 3
    And 1.5 seconds pass
    And the status of the pool is reported after a pause that was 0.3 s too long
    Then a line "pool status" says
      | field              | value |
      | unacknowledged     | 3     |
      | unconfirmed        | 0     |
      | oldest_first_start | 2.0   |
      | late               | 1     |
      | lag                | 0.3   |
    And the metrics have
      | series                                        | value |
      | pool_oldest_first_start_seconds{pool="count"} | 2     |
      | pool_late_jobs{pool="count"}                  | 1     |
      | pool_ends_unacknowledged{pool="count"}        | 3     |
    When the pool is planned
    And the status of the pool is reported after a pause that was 0.0 s too long
    Then a line "pool status" says
      | field              | value |
      | oldest_first_start | 0.0   |
      | late               | 0     |

  Scenario Outline: A worker that <waited for> accepts the epoch with a run
    Given a pool with 2 workers whose polls are answered
    And <name> has not been heard by the new holder
    When worker "w2" is polled and lists a run
    Then a line "worker accepted the pool's epoch" says
      | field   | value     |
      | worker  | w2        |
      | runs    | 1         |
      | awaited | <awaited> |

    Examples:
      | waited for             | name                     | awaited |
      | the recovery waits for | a worker that is awaited | True    |
      | was not known before   | a worker that is new     | False   |

  Scenario: A pool that needs more machines than are on standby
    Given a pool with 1 workers
    And 2 machines on standby, of which 1 is not up
    When the pool needs 3 more machines for 1.5 seconds
    Then 2 lines "too few machines on standby" are written
    And a line "too few machines on standby" says
      | field   | value     |
      | wanted  | 3         |
      | free    | 1         |
      | standby | 2         |
      | why     | much work |

  Scenario: A pool for which enough machines are on standby
    Given a pool with 1 workers
    And 5 machines on standby, of which 1 is not up
    When the pool needs 3 more machines for 0.5 seconds
    Then no line "too few machines on standby" is written
