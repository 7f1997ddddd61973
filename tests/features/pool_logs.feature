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
      | failed  | 1     |
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
      | is stored as ended       | job is stored as completed |
      | is not known to the pool | job is not loaded          |

  Scenario: A job whose end is stored is loaded again
    Given a pool with 2 workers
    And a job of 1 tasks of 1 core
    When the pool is planned
    And all runs are listed as running
    And the rest are listed as done
    And the job is stored as ended
    And the job is loaded again
    Then a line "job whose end is stored loaded again" says
      | field | value            |
      | job   | 00000000000000aa |
      | ended | completed        |
    And the metrics have
      | series                          | value |
      | ended_jobs_loaded{pool="count"} | 1     |

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
