Feature: Every availability budget holds and a VM is in exactly one pool
  Maintenance and moves take VMs out of service within the availability
  budget of their pool, also when coordinators race, answers are lost, VMs
  fail or data centres are taken out.

  Scenario Outline: <down> down, <leaving> leaving, <missing> missing, budget <budget>
    Given a pool of 6 VMs in 3 racks of 2
    And <down> are down, <leaving> are leaving and <missing> are missing
    When a step requests one more VM of rack "<rack>" under "<budget>"
    Then the answer is "<answer>"

    Examples: what counts as out of service
      | down | leaving | missing | rack | budget                            | answer                |
      | 0    | 0       | 0       | r2   | out = 1                           | allowed               |
      | 1    | 0       | 0       | r2   | out = 1                           | out                   |
      | 0    | 1       | 0       | r2   | out = 1                           | out                   |
      | 0    | 0       | 1       | r2   | out = 1                           | out                   |
      | 1    | 0       | 0       | r2   | out = 2                           | allowed               |
      | 1    | 0       | 0       | r0   | out = 2, out_per_rack = 1         | out_per_rack          |
      | 1    | 0       | 0       | r2   | out = 2, out_per_rack = 1         | allowed               |
      | 1    | 0       | 0       | r2   | out = 2, out_per_data_centre = 1  | out_per_data_centre   |
      | 0    | 0       | 0       | r2   | out = 2, survive_rack = true      | out                   |
      | 0    | 0       | 0       | r2   | out = 3, survive_rack = true      | allowed               |
      | 1    | 0       | 0       | r2   | out = 3, survive_rack = true      | out                   |
      | 0    | 0       | 0       | r2   | out = 6, spare = 6                | spare                 |
      | 0    | 0       | 0       | r2   | out = 6, spare = 5                | allowed               |

  Scenario Outline: A roll-out while <trouble>
    Given entry VMs "a" and "b" in "north" with 6 workers
    And pool "count" allows <out> out
    When a roll-out of pool "count" is begun
    And <trouble>
    And both coordinators run up to 400 passes
    Then the budget held after every pass
    And every VM was rebooted at least once and serves again
    And the wave is "done"

    Examples: troubles
      | trouble                                         | out |
      | nothing happens                                 | 1   |
      | nothing happens                                 | 2   |
      | answers of the platform are lost at random      | 2   |
      | the first coordinator is killed after 5 passes  | 2   |
      | the table service is down for 20 passes         | 2   |

  Scenario: A wave pauses when its VMs fail and resumes after a probe
    Given entry VMs "a" and "b" in "north" with 6 workers
    And pool "count" allows 2 out
    When a roll-out of pool "count" is begun
    And VMs fail after their reboot
    And both coordinators run up to 100 passes
    Then the wave is "paused"
    And at most 3 VMs were rebooted
    When the failed VMs come back and the pause has passed
    And both coordinators run up to 400 passes
    Then the wave is "done"

  Scenario: A drain is abandoned when failures exceed the budget
    Given entry VMs "a" and "b" in "north" with 6 workers
    And pool "count" allows 1 out
    When a step drains "w0" while it still runs a task
    And "w5" fails
    And both coordinators run up to 20 passes
    Then "w0" serves again without a reboot

  # Guards against tasks that are checkpointed as soon as their worker drains
  # for a second time.
  Scenario: Each drain of a worker has its grace time
    Given entry VMs "a" and "b" in "north" with 6 workers
    Then the tasks on draining workers are checkpointed at
      | second | draining | checkpointed |
      | 0      | w0       | no           |
      | 9      | w0       | no           |
      | 10     | w0       | yes          |
      | 19     | w0       | no           |
      | 20     | w0       | yes          |
      | 25     | none     | no           |
      | 60     | w0       | no           |
      | 69     | w0       | no           |
      | 70     | w0       | yes          |

  Scenario: Another coordinator completes a move that a killed one began
    Given entry VMs "a" and "b" in "north" with 6 workers
    And pool "count" allows 2 out
    When operators at "a" and "b" move "w0" to "report" and to "spare"
    Then one move is begun and the other refused with "CONFLICT"
    When "a" is killed at a random pass of the move
    And both coordinators run up to 60 passes
    Then "w0" is in exactly one pool, "report", and serves

  Scenario: A delayed pool assignment of a paused process is reverted
    Given entry VMs "a" and "b" in "north" with 6 workers
    And pool "count" allows 2 out
    When operators at "a" and "b" move "w0" to "report" and to "spare"
    And both coordinators run up to 60 passes
    And the platform assigns "w0" to "spare" by a delayed call
    Then no process gives "w0" work
    When both coordinators run up to 10 passes
    Then "w0" is in exactly one pool, "report", and serves

  Scenario: A pool short of VMs borrows from the buffer pool and repays
    Given entry VMs "a" and "b" in "north" with 6 workers
    And pool "count" allows 2 out and "spare", with 2 of the VMs, is the buffer
    When pool "count" needs 5.5 VMs for 80 seconds
    Then pool "count" has 6 VMs and "spare" has 0
    When pool "count" needs 1.0 VMs for 400 seconds
    Then pool "count" has 4 VMs and "spare" has 2
    And 4 moves were made in total

  Scenario Outline: A shortage of <seconds> seconds causes <moves> moves
    Given entry VMs "a" and "b" in "north" with 6 workers
    And pool "count" allows 2 out and "spare", with 2 of the VMs, is the buffer
    When pool "count" needs 5.0 VMs for <seconds> seconds
    Then <moves> moves were made in total

    Examples: only a shortage that lasts longer than a move causes one
      | seconds | moves |
      | 5       | 0     |
      | 14      | 0     |
      | 40      | 1     |

  Scenario Outline: A VM that was maintained <days> days ago
    Given entry VMs "a" and "b" in "north" with 6 workers
    And pool "count" allows 2 out
    When "w3" was last maintained <days> days ago
    And both coordinators run up to 20 passes
    Then "w3" was rebooted <times> times and the others not

    Examples: once in 28 days, due when three quarters have passed
      | days | times |
      | 1    | 0     |
      | 20   | 0     |
      | 22   | 1     |
      | 60   | 1     |
