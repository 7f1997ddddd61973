Feature: A pool has one holder, and a deposed one writes nothing
  The version of the holder's row is the epoch: the fencing token towards
  workers and the condition of all that is written for the pool.

  Scenario: Two processes want one pool
    Given processes "a" and "b" and one pool
    When both look for pools without a holder
    Then one of them holds the pool

  Scenario: A lease that is renewed is not taken
    Given processes "a" and "b" and one pool
    And "a" holds the pool
    When 60 seconds pass in which "a" renews
    And "b" looks for pools without a holder
    Then "a" holds the pool

  Scenario: A lease that is not renewed is taken with a higher epoch
    Given processes "a" and "b" and one pool
    And "a" holds the pool
    When 3 seconds pass without a renewal
    Then "a" may order nothing
    When "b" looks for pools without a holder
    Then "b" holds the pool with a higher epoch

  Scenario: A holder may not order before another may take its pool
    Given processes "a" and "b" and one pool
    And "a" holds the pool
    When time passes in steps of 0.05 seconds without a renewal
    Then there was no step at which "a" may order and the pool is free

  Scenario: A renewal that takes effect late deposes nobody
    Given processes "a" and "b" and one pool
    And "a" holds the pool
    When a renewal of "a" gets no answer and is late
    And 3 seconds pass without a renewal
    And "b" looks for pools without a holder
    And the late call is carried out
    Then "b" holds the pool with a higher epoch

  Scenario: A renewal whose answer was lost is found again
    Given processes "a" and "b" and one pool
    And "a" holds the pool
    When the answer to a renewal of "a" is lost
    And "a" renews
    And "a" renews
    Then "a" holds the pool
    And "a" may order

  Scenario: A process that leaves gives its pools up at once
    Given processes "a" and "b" and one pool
    And "a" holds the pool
    When "a" leaves
    And "b" looks for pools without a holder
    Then "b" holds the pool with a higher epoch

  Scenario: What a deposed holder writes changes nothing
    Given processes "a" and "b" and one pool
    And "a" holds the pool
    When 3 seconds pass without a renewal
    And "b" looks for pools without a holder
    And "a" stores progress under its epoch
    Then nothing was stored

  Scenario: A pool is looked at when its lease is over, not later
    Given processes "a" and "b" and one pool
    And "a" holds the pool
    When "b" looks once
    And time passes as "b" waits between its looks, 20 times at most
    Then "b" holds the pool with a higher epoch
    And it took 2.2 seconds at most

  Scenario: A process that starts takes the pools of its earlier life at once
    Given processes "a" and "b" and one pool
    And "a" holds the pool
    When "a" is killed and starts again
    And "a" looks once
    Then "a" holds the pool with a higher epoch

  Scenario: A pool that could not be claimed is not claimed again at once
    Given processes "a" and "b" and one pool
    And "a" holds the pool
    When 3 seconds pass without a renewal
    And the store refuses all transactions
    And time passes as "b" waits between its looks, 10 times at most
    Then "b" tried at most once each 0.4 seconds
