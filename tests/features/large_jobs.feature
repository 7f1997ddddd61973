Feature: A large job stops no holder of its pool
  A holder plans without a pause. A round that lasts as long as the lease of
  its pool costs it the pool, and the next holder stands still as well.

  # Guards against a job of many steps that stops each holder in turn, so that
  # no task of its pool starts any more.
  Scenario Outline: A round with <jobs> jobs of <steps> steps
    Given a pool of 6 workers with 16 cores
    And <jobs> large jobs of <steps> steps, each after <after> of the steps before
    When the pool is planned 3 times
    Then each round took less than the pool's lease
    And tasks were started in the first round
    And a round looked at no estimate more than once

    Examples: jobs
      | jobs | steps | after |
      | 1    | 700   | 0     |
      | 41   | 150   | 0     |
      | 1    | 300   | 128   |

  # Guards against an order of steps that ignores what depends on them.
  Scenario: The critical path of each step
    Given a pool of 1 workers with 16 cores
    And a large job of these steps
      | seconds | after |
      | 1       |       |
      | 2       | 0     |
      | 5       | 0     |
      | 4       | 1     |
      | 1       | 2, 3  |
      | 9       |       |
    Then the critical paths of its steps are "8, 7, 6, 5, 1, 9" seconds

  # Guards against a job of many occurrences that are all due at once, and that
  # stops each holder in turn.
  Scenario: A job of 200,000 occurrences is due
    Given a pool of 6 workers with 16 cores
    And a large job of 200000 occurrences that are all due
    When its occurrences are created within the pool's lease
    And the pool is planned 3 times
    Then each round took less than the pool's lease
    And tasks were started in the first round

  # Guards against occurrences that wait for ever, or are left out.
  Scenario: Occurrences that waited are created as others end
    Given a pool of 6 workers with 16 cores
    And a large job of 2500 occurrences that are all due
    When all its tasks end again and again
    Then 2500 occurrences of it have ended
    And the large job is complete

  # Guards against a pool that stores nothing any more, as the attempts of a
  # large job of an earlier holder exceed a row of the store.
  Scenario: A holder takes a pool over with a job of 5,000 tasks
    Given a pool of 6 workers with 16 cores
    And a large job of 5000 tasks that has begun, from before the take-over
    When the pool is planned and stored until all its tasks have ended
    Then no row was larger than a row of the store may be
    And the large job is complete

  # Guards against a job that keeps all others of its pool from being stored.
  Scenario Outline: The progress of a job exceeds a row by its <records>
    Given a pool of 1 workers with 16 cores
    And a large job whose <records> exceed a row of the store
    And another job that has made progress
    When the journal of the pool is stored
    Then the progress of the other job is stored
    And no row was larger than a row of the store may be
    And the large job <fate>

    Examples: records
      | records     | fate                           |
      | checkpoints | is stored without them         |
      | crashes     | has failed with code TOO_LARGE |

  # Guards against a job that is accepted and can't be recorded to its end.
  Scenario Outline: A job of <steps> steps of <count> tasks, <times> times
    When a job of <steps> steps of <count> tasks is submitted, <times> times
    Then the submission is answered with <answer>

    Examples: jobs
      | steps | count  | times   | answer    |
      | 1     | 16000  | 0       | Accepted  |
      | 1     | 17000  | 0       | TOO_LARGE |
      | 700   | 1      | 0       | Accepted  |
      | 3     | 1      | 1000    | Accepted  |
      | 1     | 1      | 1000000 | TOO_LARGE |
      | 6     | 100000 | 0       | TOO_LARGE |
      | 3000  | 1      | 0       | TOO_LARGE |
