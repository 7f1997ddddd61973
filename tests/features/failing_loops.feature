Feature: No loop of a process ends unseen
  A loop that fails gives up what it was for, or begins anew.

  # Guards against a worker whose runs counted as running for ever, as the loop
  # that polls it had ended unseen.
  Scenario: The loop of a worker fails
    Given a worker loop whose worker has listed 0 ends
    When the loop fails while it polls
    Then its holder has given the pool up

  # Guards against a process that learns of no job or configuration any more.
  Scenario: Changes that can't be applied
    Given a watch whose next 2 changes can't be applied
    When the watch polls 4 times
    Then it has read 3 snapshots and is watching again

  # Guards against a process that claims no pool any more.
  Scenario: A scan for pools without a holder fails
    Given processes "a" and "b" and one pool
    When a scan of "a" meets a row that can't be read
    Then "a" scans again
    And "a" acquires the pool when the row can be read

  # Guards against pools whose workers and queues stay as they were, as the
  # change failed for another pool of the process.
  Scenario: A change of the cluster can't be applied to one pool
    Given a holder of a pool
    When a change of the cluster can't be applied to it
    Then it has given the pool up

  # Guards against a pool that a process holds and does not renew.
  Scenario: The renewal of a lease fails
    Given processes "a" and "b" and one pool
    When "a" acquires the pool and its renewal ends by a fault
    Then "a" has lost the pool

  # Guards against pools that start nothing for seconds after the store is back,
  # as the call that waits for changes was sent while it was away.
  Scenario: A watch whose source is away asks without waiting
    Given a watch whose source is away for the next 2 calls
    When the watch polls 4 times
    Then the calls asked to wait for "2, 0, 0, 2" seconds
