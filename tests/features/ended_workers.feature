Feature: What is known of a worker's end is known of what it was told
  A start without an answer holds its task only while it may take effect.

  # Guards against a second run, by a start that was sent after its worker had
  # ended and its task had been given up there.
  Scenario: A start whose worker ended before it was sent
    Given a pool with 2 workers
    And a job of 1 tasks of 1 core
    When the pool is planned
    And its worker ends before the start is sent
    Then the start is not sent

  # Guards against a second run, by the answer of an earlier incarnation.
  Scenario: A stop is answered by the incarnation before
    Given a pool with 2 workers
    And a job of 1 tasks of 1 core
    When the pool is planned
    And the worker restarts while it is told to stop the run
    Then the stop does not count as answered

  # Guards against starts that go to a worker which refuses connections, over
  # and over.
  Scenario: A worker that could not be connected to gets a pause
    Given a pool with 1 workers
    And a job of 1 tasks of 1 core
    When the pool is planned
    And the start is not sent, as the connection was refused
    And the pool is planned
    Then 1 starts are ordered

  # Guards against a task that waited 12.5 s for a start that a worker which had
  # ended could not carry out any more.
  Scenario Outline: An unanswered start on a worker that <event>
    Given a pool with 2 workers
    And a job of 1 tasks of 1 core
    When the pool is planned
    And the start gets no answer
    And its worker <event>
    And the pool is planned
    And all progress is stored
    And the pool is planned
    Then <starts> starts are ordered

    Examples:
      | event                                     | starts |
      | is not run by any machine                 | 2      |
      | is replaced at its address                | 2      |
      | was moved to standby                      | 2      |
      | answers no poll, and its lease has lapsed | 1      |

  # Guards against a second run of a task, by a start that reached the worker's
  # next incarnation late.
  Scenario Outline: A start got no answer, and <seconds> s after the end <event>
    Given a pool with 2 workers
    And a job of 1 tasks of 1 core
    When the pool is planned
    And the start gets no answer
    And its worker is not run by any machine
    And <seconds> seconds later <event>
    And the pool is planned
    Then <stops> late starts are stopped

    Examples: told to stop it as long as an order can be delayed
      | seconds | event                                        | stops |
      | 3.0     | it is registered under its name as a new one | 1     |
      | 3.0     | it lists a new incarnation                   | 1     |
      | 13.0    | it is registered under its name as a new one | 0     |
      | 13.0    | it lists a new incarnation                   | 0     |

  # Guards against a second run of a task, by a start that was given up in the
  # worker's life before and reached the next one late.
  Scenario Outline: A start was given up as <given_up>, <seconds> s before <event>
    Given a pool with 2 workers
    And a job of 1 tasks of 1 core
    When the pool is planned
    And the start gets no answer
    And the worker <given_up>
    And <seconds> seconds later <event>
    And the pool is planned
    Then <stops> late starts are stopped

    Examples: told to stop it as long as an order can be delayed
      | given_up                                  | seconds | event                                  | stops |
      | answers a stop and lists no runs          | 3.0     | it lists a new incarnation             | 1     |
      | answers a stop and lists no runs          | 3.0     | it is registered with a new incarnation | 1     |
      | answers a stop and lists no runs          | 13.0    | it lists a new incarnation             | 0     |
      | lists no runs after the start's deadline  | 3.0     | it lists a new incarnation             | 1     |
      | answers a stop as another incarnation     | 3.0     | it lists a new incarnation             | 1     |

  # Guards against a late start that the second life of a worker was told to
  # stop, and that reached the third.
  Scenario: A worker restarts twice while a start may arrive
    Given a pool with 2 workers
    And a job of 1 tasks of 1 core
    When the pool is planned
    And the start gets no answer
    And the worker answers a stop and lists no runs
    And 2.0 seconds later it lists a new incarnation
    And the new incarnation answers a stop and lists no runs
    And 2.0 seconds later it lists a third incarnation
    And the pool is planned
    Then 1 late starts are stopped

  # Guards against a late start that ran in the next life of an idle worker for
  # up to 5 s, until the worker was polled again.
  Scenario Outline: An idle worker is polled at once while <orders> may arrive
    Given a worker loop whose worker has listed 0 ends
    When <orders> may arrive
    Then the worker is polled without a pause for 12.5 seconds

    Examples:
      | orders                       |
      | a start that was given up    |
      | orders of the earlier holder |

  # Guards against a long-running task that was stopped although it ran, as the
  # answer to its start had been lost.
  Scenario Outline: An unanswered start whose run is listed, stopped <before>
    Given a pool with 2 workers
    And a job of 1 tasks of 1 core
    When the pool is planned
    And the start gets no answer
    And the pool is planned <rounds> times after <answered> answered polls
    And all runs are listed as running
    And 1.0 seconds pass
    And all runs are listed as running
    And the pool is planned
    Then <stops> stops are ordered

    Examples:
      | before     | rounds | answered | stops |
      | not before | 1      | 0        | 0     |
      | before     | 1      | 1        | 2     |

  # Guards against a run of a job that is over, which went on for ever as its
  # start had got no answer before.
  Scenario Outline: A start gets no answer, <event>, and the run is listed
    Given a pool with 2 workers
    And a job of 2 tasks of 1 core
    When the pool is planned
    And none of the starts gets an answer
    And <event>
    And all runs are listed as running
    And 1.0 seconds pass
    And the pool is planned
    Then <stops> stops are ordered

    Examples:
      | event                | stops |
      | its team cancels the job | 2     |
      | all workers restart | 2     |
      | nothing else happens | 0     |

  # Guards against starts on a worker that ended while it was idle.
  Scenario: An idle worker is polled from time to time, and when it is woken
    Given a worker loop whose worker has listed 0 ends
    When the loop runs for 11.0 seconds with an idle worker
    Then the worker was polled 2 times
    When the loop is woken
    Then the worker was polled 3 times

  # Guards against a worker that was dropped by an answer from its old address.
  Scenario: Another worker answers at the address that a worker has left
    Given a worker loop whose worker has listed 0 ends
    When the worker moves to another address while its old one is polled
    Then the worker is still registered
