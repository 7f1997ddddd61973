Feature: Tasks are neither lost nor run twice
  A task that may not be repeated runs at most once, whatever happens to
  entry VMs, workers and answers; a recorded task is not lost.

  Background:
    Given entry VMs "a" and "b" in "north" with 4 workers

  Scenario Outline: <trouble>, tasks <repeat> be repeated
    When 10 tasks of 0.05 seconds that <repeat> be repeated are submitted to "a"
    And <trouble>
    And the running entry VMs have done 40 rounds of all periodic work
    Then no task that may not be repeated was started twice
    And every task is settled or waits, and at least <done> are done

    Examples: faults of entry VMs and workers
      | trouble                                        | repeat  | done |
      | nothing happens                                | may not | 10   |
      | "a" is killed before any start                 | may not | 10   |
      | "a" is killed while tasks run                  | may not | 10   |
      | "a" is killed while tasks run                  | may     | 10   |
      | "a" restarts while tasks run                   | may not | 10   |
      | starts get no answer at random                 | may not | 10   |
      | starts get no answer at random                 | may     | 10   |
      | "a" releases its batches                       | may not | 10   |
      | one worker is cut off while tasks run          | may not | 5    |
      | one worker is cut off until its leases expire  | may     | 10   |
      | "a" is taken over by "b" while paused          | may not | 10   |
      | answers of the table are lost at random        | may not | 10   |

  Scenario: A worker that fails every task is ejected
    When the first worker fails every task
    And 30 tasks of 0.01 seconds that may be repeated are submitted to "a"
    And the running entry VMs have done 40 rounds of all periodic work
    Then every task is settled or waits, and at least 25 are done

  Scenario: A submission repeated with its request id is recorded once
    When the same request id is submitted to "a" and to "b"
    Then both answers name the same task

  Scenario Outline: Retention of settled tasks: <kept> s, deleted after <asked> s
    When 3 tasks of 0.01 seconds that may not be repeated are submitted to "a"
    And the running entry VMs have done 20 rounds of all periodic work
    And settled tasks are deleted <asked> seconds later with a retention of <kept>
    Then <left> settled rows are left

    Examples:
      | kept | asked | left |
      | 100  | 99    | 1    |
      | 100  | 101   | 0    |

  Scenario: Submissions are refused as not run while the table service is down
    When the table service is down for "a"
    And a task is submitted to "a"
    Then it is refused as not run and no row was written

  Scenario: A task that is cancelled before its start never starts
    When 40 tasks of 60 seconds that may not be repeated are submitted to "a"
    And the running entry VMs have done 2 rounds of all periodic work
    And every task of "a" is cancelled
    And the running entry VMs have done 10 rounds of all periodic work
    Then every task has ended
    And 1 to 4 writes to the table settled them

  Scenario: An urgent task preempts long tasks
    When 40 long tasks that fill every worker are submitted to "a"
    And the running entry VMs have done 10 rounds of all periodic work
    And an urgent task is submitted to "a"
    And the running entry VMs have done 25 rounds of all periodic work
    Then the urgent task is running and no long task is lost

  Scenario Outline: A task that starts <late> seconds after its submission
    Given urgent work is assured to start within 4.4 seconds
    When an urgent task submitted <late> seconds ago is started on "a"
    Then <count> late starts are counted and explained with their assurance

    Examples: an assurance of a class
      | late | count |
      | 4    | 0     |
      | 5    | 1     |

  # Guards against a task that runs twice as a failed answer was read as no.
  Scenario Outline: A worker answers a start with status <status>
    When a worker answers a start with status <status>
    Then the start counts as <outcome>

    Examples:
      | status | outcome    |
      | 200    | Started    |
      | 409    | NotStarted |
      | 429    | NotStarted |
      | 500    | NoAnswer   |
      | 502    | NoAnswer   |
      | 503    | NoAnswer   |
