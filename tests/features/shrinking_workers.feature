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
