Feature: A pool has one holder, and a former holder can't write
  The version of the holder row is the epoch: the fencing token in orders to
  workers and the precondition of every write for the pool.

  Scenario: Two processes compete for one pool
    Given processes "a" and "b" and one pool
    When both scan for free pools
    Then one of them holds the pool

  Scenario: A renewed lease is not claimed by another process
    Given processes "a" and "b" and one pool
    And "a" holds the pool
    When 60 seconds pass in which "a" renews
    And "b" scans for free pools
    Then "a" holds the pool

  Scenario: A lease that is not renewed is acquired by another with a higher epoch
    Given processes "a" and "b" and one pool
    And "a" holds the pool
    When 3 seconds pass without a renewal
    Then the lease of "a" has expired
    When "b" scans for free pools
    Then "b" holds the pool with a higher epoch

  Scenario: A holder stops sending orders before others may claim its pool
    Given processes "a" and "b" and one pool
    And "a" holds the pool
    When time passes in steps of 0.05 seconds without a renewal
    Then there was no step at which the lease of "a" is valid and the pool is free

  Scenario: A renewal that takes effect late does not depose the new holder
    Given processes "a" and "b" and one pool
    And "a" holds the pool
    When a renewal of "a" gets no answer and takes effect late
    And 3 seconds pass without a renewal
    And "b" scans for free pools
    And the late call takes effect
    Then "b" holds the pool with a higher epoch

  Scenario: A lease survives a renewal whose answer was lost
    Given processes "a" and "b" and one pool
    And "a" holds the pool
    When the answer to a renewal of "a" is lost
    And "a" renews
    And "a" renews
    Then "a" holds the pool
    And the lease of "a" is valid

  # Guards against a pool without a holder: a process whose lease ran out while
  # it read the holder row raised the epoch above that of the next holder.
  Scenario Outline: The holder row is read within <seconds> s of a claim
    Given processes "a" and "b" and one pool
    When "a" claims the pool, and "b" scans while "a" reads the holder row for <seconds> s
    Then "<holder>" holds the pool with the highest epoch

    Examples: leases last 2 s
      | seconds | holder |
      | 0.5     | a      |
      | 3.0     | b      |

  Scenario: A process that shuts down releases its pools at once
    Given processes "a" and "b" and one pool
    And "a" holds the pool
    When "a" shuts down
    And "b" scans for free pools
    Then "b" holds the pool with a higher epoch

  Scenario: The writes of a former holder are rejected
    Given processes "a" and "b" and one pool
    And "a" holds the pool
    When 3 seconds pass without a renewal
    And "b" scans for free pools
    And "a" stores progress under its epoch
    Then nothing was stored

  Scenario: An expired lease is claimed without waiting for the next regular scan
    Given processes "a" and "b" and one pool
    And "a" holds the pool
    When "b" scans once
    And time passes as "b" waits between its scans, 20 times at most
    Then "b" holds the pool with a higher epoch
    And it took 2.2 seconds at most

  Scenario: A restarted process acquires the pools of its predecessor at once
    Given processes "a" and "b" and one pool
    And "a" holds the pool
    When "a" is killed and restarted
    And "a" scans once
    Then "a" holds the pool with a higher epoch

  Scenario: A failed claim is not retried at once
    Given processes "a" and "b" and one pool
    And "a" holds the pool
    When 3 seconds pass without a renewal
    And the store refuses all transactions
    And time passes as "b" waits between its scans, 10 times at most
    Then "b" tried to claim it at most once every 0.4 seconds

  # Guards against a pool that a slow entry VM holds and can't serve.
  Scenario Outline: A VM of <cores> cores competes with one of half a core
    Given processes "a" and "b" and one pool
    And "a" runs on 0.5 cores
    And "b" runs on <cores> cores
    And "b" holds <others> other pools
    When both scan for free pools every 0.01 seconds
    Then "<holder>" is the holder

    Examples:
      | cores | others | holder |
      | 2     | 0      | b      |
      | 1     | 0      | b      |
      | 1     | 1      | a      |
      | 0.25  | 0      | a      |
