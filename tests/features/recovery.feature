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
    When worker "w2" does not answer a poll
    And 1.1 seconds pass
    And the pool is planned
    Then 0 starts are ordered
    When worker "w2" does not answer a poll
    And worker "w2" does not answer a poll
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

  # Guards against ends that were stored and never acknowledged.
  Scenario: A worker without runs is polled until it has discarded its ends
    Given a worker loop whose worker has listed 57 ends
    When the loop polls once
    Then the worker is not idle
    When the loop polls again
    Then the worker is idle

  # Guards against a worker that seems silent for longer than it is.
  Scenario: The poll after one without an answer is answered at once
    Given a worker loop whose worker has listed 57 ends
    When a poll of the loop gets no answer
    And the loop polls again
    Then the poll asked for no wait

  # Guards against a recovery that ends by an answer of an earlier life.
  Scenario: An answer of an earlier life does not confirm a restarted worker
    Given a worker loop whose worker has listed 57 ends
    When the worker restarts while a poll is under way
    Then the worker has not accepted the epoch

  # Guards against ends that were stored and never acknowledged.
  Scenario: Ends are acknowledged while later ones wait for the store
    Given a worker loop whose store is 2 ends behind
    When the worker lists 1 more end at each of 6 polls
    Then at least 3 ends were acknowledged

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

  # Guards against a run that never ends, as its worker does not have it.
  Scenario: A start is accepted before a restart that becomes known first
    Given a pool with 2 workers
    And a job of 1 tasks of 1 core
    When the pool is planned
    And its worker restarts
    And the workers accept all starts
    And the worker answers a stop and lists nothing since its restart
    And the pool is planned
    Then 1 starts are ordered
    When the attempt of its next start is stored
    And the pool is planned
    Then 2 starts are ordered

  # Guards against two runs of a task at once.
  Scenario: A start is accepted after a restart that becomes known later
    Given a pool with 2 workers
    And a job of 1 tasks of 1 core
    When the pool is planned
    And the workers accept all starts
    And its worker restarts
    And the pool is planned
    Then 1 starts are ordered
    And 1 stops are ordered

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

  # Guards against a task that ran again as its worker was not asked.
  Scenario: A recovery waits for a registered worker that the stored list lacks
    Given a registry of a pool with a worker of life 200
    When a new holder recovers the workers without a stored list
    Then the worker is unconfirmed

  # Guards against long-running tasks that were all stopped at a take-over.
  Scenario: A worker without a registration at a take-over is not drained
    Given a registry of a pool with a worker of life 200
    When a new holder recovers the workers without its registration
    Then the worker is unconfirmed
    And it gets no tasks and is not drained

  # Guards against a task that ran again as its worker was not asked.
  Scenario: A worker stays in the pool until its ends are stored
    Given a worker loop whose worker has listed 57 ends
    And the store does not answer
    When the loop polls again
    And the worker's registration is removed for 60 seconds
    Then the worker is not removed and its machine is not released
    When the store answers again
    And the loop polls again
    Then the worker may be removed

  # Guards against a living worker that was taken for ended and forgotten.
  Scenario Outline: The move of an idle worker to standby: <answer>
    Given an autoscaler of a pool with an idle worker
    When the order to move it to standby is <answer>
    Then the worker <state>

    Examples:
      | answer                     | state                         |
      | confirmed                 | has ended                    |
      | rejected                  | is used again                |
      | not sent                  | is used again                |
      | not answered              | is cordoned and has not ended |
      | not answered, then sent   | has ended                    |
      | not answered, then refused | is cordoned and has not ended |

  # Guards against a pool whose holder lives on without one of its loops.
  Scenario: A holder whose loop fails gives its pool up
    Given a holder of a pool
    When one of its loops fails
    Then it has given the pool up

  # Guards against a holder that spends its time on lists of machines.
  Scenario: Workers that fall silent together cause one call for the machines
    Given a cache of the list of machines
    When 20 workers ask for it at the same time
    Then 1 calls were made
    When 20 workers ask for it at the same time while it fails
    Then 2 calls were made

  # Guards against a holder that took most of the jobs that it recovered for
  # submissions beyond their team's rate, as their rows come in the order of
  # their keys: it served them last and released its machines.
  Scenario Outline: <count> jobs of a team are recovered, submitted every <gap> s
    Given the rows of <count> jobs of a team of weight 2, submitted every <gap> s, in any order
    When a new holder recovers the jobs
    Then <beyond> of them count as beyond the rate of their team

    Examples:
      | count | gap  | beyond |
      | 30    | 0.5  | 0      |
      | 30    | 2.0  | 0      |
      | 10    | 0.25 | 4      |

  # Guards against a holder that released the machines of a pool at the height
  # of its load, as it knew of no arrivals.
  Scenario Outline: The arrivals of recovered jobs count as load, <ago> s later
    Given the rows of 40 jobs of a team of weight 99, submitted every 0.1 s, in any order
    When a new holder recovers the jobs <ago> s after the last of them
    Then <jobs> jobs a second arrive

    Examples: arrivals of the last 3 s count
      | ago | jobs |
      | 0   | 10   |
      | 2   | 0    |

  # Guards against members of a gang that are started with checkpoints that
  # differ, after a take-over.
  Scenario: A gang whose members stopped at different checkpoints
    Given a gang of 3 tasks of which task 1 was preempted at "aa" and 2 at "bb"
    When another holder reads its stored progress
    Then all members of the gang continue from the same checkpoint "bb"
    When its members are done
    Then it has no stored checkpoint
