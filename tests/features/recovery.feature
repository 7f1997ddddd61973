Feature: A new holder of a pool knows what its predecessors left
  Before it starts a task again it has read the worker that may have run it,
  or the worker is silent and its lease is over.

  # Guards against a pool whose holder never began to work: no task started.
  Scenario: Team grants are taken over although other pools change the rows
    Given 5 teams with grants of pool "a" and pool "b"
    When pool "a" takes over its grants while "b" changes a row before each write
    Then all grants of pool "a" are taken over after 3 attempts at most
    And no row was written more than 2 times by pool "a"

  # Guards against a task that ran again as its end had not been read.
  Scenario: A recovery that took long still asks the workers first
    Given a pool with 2 workers
    And a job of 2 tasks of 1 core from before the take-over
    And worker "w2" has not been asked yet
    When 20.0 seconds pass
    And the pool is planned
    Then 0 starts are ordered
    When worker "w2" does not answer for 0.5 seconds
    And the pool is planned
    Then 0 starts are ordered
    When worker "w2" does not answer for 0.6 seconds
    And the pool is planned
    Then 2 starts are ordered

  # Guards against ends that a worker forgot before anybody had read them.
  Scenario: A restarted worker is not told to forget ends of its new life
    Given a worker loop whose worker has listed 57 ends
    When the worker restarts while the loop waits for the store
    And the loop polls again
    Then the poll acknowledged no end

  # Guards against ends that a worker forgot before anybody had read them.
  Scenario: An acknowledgement that was answered is not sent again
    Given a worker loop whose worker has listed 57 ends
    When the loop polls again
    Then the poll acknowledged 57 ends
    When the loop polls again
    Then the poll acknowledged no end

  # Guards against ends that a worker forgot before anybody had read them.
  Scenario: Nothing is acknowledged to a worker that may have restarted
    Given a worker loop whose worker has listed 57 ends
    When a poll of the loop gets no answer
    And the loop polls again
    Then the poll acknowledged no end
    When the loop polls again
    Then the poll acknowledged 57 ends

  # Guards against runs that were dropped, and their tasks started again.
  Scenario: A late listing of an earlier life of a worker changes nothing
    Given a pool with 1 workers
    And a job of 1 tasks of 1 core
    When the pool is planned
    And the worker restarts and lists the run
    And a listing of its earlier life arrives late
    And the pool is planned
    Then 1 starts are ordered
    And the worker has 1 run

  # Guards against runs that were dropped, and their tasks started again.
  Scenario: An old registration of a worker does not undo its restart
    Given a registry of a pool with a worker of life 200
    When the worker lists that it is of life 150
    And its registration of life 200 is written again
    Then the worker counts as of life 150

  # Guards against all tasks of an ended job running once more.
  Scenario: A job that has ended is not loaded again from an old snapshot
    Given an inbox with a job that has ended
    When the job's row is read again from an old snapshot
    Then the pool has no jobs

  # Guards against all tasks of an ended job running once more.
  Scenario: A job that has ended is not loaded again from a delayed change
    Given an inbox with a job that has ended
    When the job's row is read again from a delayed change
    Then the pool has no jobs
