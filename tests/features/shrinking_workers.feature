Feature: Workers whose capacity shrinks are given no more than it is now
  A worker tells its capacity in its registration, which may change while it
  runs. It starts whatever it is told to.

  # Guards against starts beyond the capacity of a worker that has shrunk, by a
  # snapshot that was older than the change.
  Scenario: A snapshot that is behind does not undo a change
    Given a watch of registrations that shows worker "w1" with 16 cores
    When the worker shrinks to 4 cores
    And the history is lost and the next 2 snapshots are older than the change
    Then worker "w1" has 4 cores after each of 4 polls
    And the watch was not confirmed by the older snapshots

  # Guards against starts beyond the capacity of a worker that has shrunk.
  Scenario Outline: A worker of 16 cores runs <running> tasks of 1 core and shrinks
    Given a pool with 1 workers
    And a job of <running> tasks of 1 core
    When the pool is planned
    And the workers accept all starts
    And worker "w1" registers with <cores> cores
    And a job of 10 tasks of 1 core is accepted
    And the pool is planned
    Then <starts> starts are ordered

    Examples: it gets what is left, and nothing while it has too much
      | running | cores | starts |
      | 4       | 8     | 8      |
      | 8       | 8     | 8      |
      | 12      | 8     | 12     |
      | 12      | 16    | 16     |

  # Guards against starts by the size of an earlier incarnation.
  Scenario: A worker that restarted gets nothing before it has registered again
    Given a pool with 1 workers
    And a job of 4 tasks of 1 core
    And worker "w1" has restarted, and its registration is of before
    When the pool is planned
    Then 0 starts are ordered
    When worker "w1" registers with 2 cores
    And the pool is planned
    Then 2 starts are ordered

  # Guards against starts by sizes of any age while registrations can't be read.
  Scenario Outline: Registrations were confirmed <age> seconds ago
    Given a pool with 1 workers
    And a job of 4 tasks of 1 core
    And the registrations were confirmed <age> seconds ago
    When the pool is planned
    Then <starts> starts are ordered

    Examples:
      | age | starts |
      | 5.0 | 4      |
      | 6.0 | 0      |
