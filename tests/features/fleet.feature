Feature: Machine maintenance, autoscaling and team limits

  Scenario: A wave takes no more machines down than it allows
    Given a wave of 5 machines with at most 1 down at once
    And two pools with 3 and 2 of them, without running tasks
    When the maintenance of both pools has run 400 times
    Then at most 1 machines were down at once
    And each machine was maintained once
    And the wave was reported as completed once, at the end

  Scenario: The next holder of a pool continues a wave
    Given a wave of 3 machines with at most 1 down at once
    And two pools with 3 and 0 of them, without running tasks
    When the maintenance of both pools has run 2 times
    And the first pool gets a new holder
    And the maintenance of both pools has run 400 times
    Then at most 1 machines were down at once
    And each machine was maintained once

  Scenario: A lost answer of the machine API repeats no maintenance
    Given a wave of 3 machines with at most 1 down at once
    And two pools with 3 and 0 of them, without running tasks
    And every second answer of the machine API is lost
    When the maintenance of both pools has run 400 times
    Then at most 1 machines were down at once
    And each machine was maintained once

  # Guards against a living worker that was taken for ended and forgotten.
  Scenario: Maintenance that was over before it was ordered ends no worker
    Given a wave of 2 machines with at most 1 down at once
    And two pools with 2 and 0 of them, without running tasks
    And the first machine was maintained under an earlier holder
    When the maintenance of both pools has run 100 times
    Then each machine was maintained once
    And 1 workers count as ended

  # Guards against maintenance that ends tasks which the holder doesn't know.
  Scenario: Maintenance is not ordered before the worker was read
    Given a wave of 1 machines with at most 1 down at once
    And two pools with 1 and 0 of them, without running tasks
    And the holder has not read its workers yet
    When the maintenance of both pools has run 20 times
    Then no machine was maintained
    When the holder has read its workers
    And the maintenance of both pools has run 20 times
    Then each machine was maintained once

  Scenario: Maintenance is not ordered before the worker has drained
    Given a wave of 1 machines with at most 1 down at once
    And two pools with 1 and 0 of them, with running tasks
    When the maintenance of both pools has run 20 times
    Then no machine was maintained
    When the running tasks have ended
    And the maintenance of both pools has run 20 times
    Then each machine was maintained once

  Scenario: A worker that registers as maintenance starts is drained first
    Given a wave of 1 machines with at most 1 down at once
    And two pools with 1 and 0 of them, with running tasks
    And the workers of the first pool have not registered
    When the maintenance of both pools has run 2 times
    And the workers of the first pool register
    And the maintenance of both pools has run 20 times
    Then no machine was maintained
    When the running tasks have ended
    And the maintenance of both pools has run 20 times
    Then each machine was maintained once

  Scenario: A worker being returned to standby stays cordoned for maintenance
    Given a wave of 1 machines with at most 1 down at once
    And two pools with 1 and 0 of them, without running tasks
    And the worker of the first machine is being returned to standby
    When the maintenance of both pools has run 4 times
    Then the worker of the first machine is cordoned for "maintenance"

  Scenario: A machine that moves to another pool does not block the wave
    Given a wave of 3 machines with at most 3 down at once
    And two pools with 3 and 0 of them, with running tasks
    When the maintenance of both pools has run 2 times
    And the machine in maintenance moves to the second pool
    And the running tasks have ended
    And the maintenance of both pools has run 40 times
    Then each machine was maintained once

  Scenario: A worker that never registers does not block its machine
    Given a wave of 1 machines with at most 1 down at once
    And two pools with 1 and 0 of them, without running tasks
    And the workers of the first pool have not registered
    When the maintenance of both pools has run 40 times
    Then each machine was maintained once

  Scenario Outline: A wave of <count> machines in <seconds> seconds, <pool>
    Given a wave of <count> machines with at most 20 down at once
    And it has to be completed within <seconds> seconds
    And a pool <pool> with all of them
    When its maintenance has run for <seconds> seconds
    Then at most <most> machines were down at once
    And each machine was maintained once

    Examples:
      | count | seconds | pool       | most |
      | 4     | 40      | in use     | 1    |
      | 12    | 26      | in use     | 6    |
      | 60    | 26      | on standby | 20   |

  # Guards against a wave that ended late for one machine: its worker had five
  # long-running tasks of a step, which are moved one after the other, and it
  # waited until the others were done.
  Scenario Outline: <left> s are left for a machine with <tasks> tasks of a step
    Given a pool of 12 machines of a wave, of which <progress> are in progress
    And one more has a worker with <tasks> long-running tasks of a step
    Then it is started: <started>

    Examples: it needs 5 s, and 1.5 s for each further task
      | tasks | left | progress | started |
      | 1     | 5.5  | 11       | no      |
      | 1     | 5.0  | 11       | yes     |
      | 5     | 11.5 | 11       | no      |
      | 5     | 11.0 | 11       | yes     |

  Scenario: Machines that are urgent precede the others
    Given a wave whose machines need 5, 5, 9.5, 5 and 6.5 s
    Then with 9 s left and room for 5 the third is started
    And with 6 s left and room for 5 the third and fifth are started
    And with 6 s left and room for 1 the third is started

  Scenario Outline: A wave of <count> machines of a pool with waiting work
    Given a wave of <count> machines with at most 20 down at once
    And it has to be completed within 26 seconds
    And a pool in use with all of them
    And it always has waiting work
    When its maintenance has run for 26 seconds
    Then each machine was maintained once

    Examples:
      | count |
      | 1     |
      | 2     |
      | 12    |

  Scenario Outline: Processes that order one machine: <orders>
    Then the last of these orders is <answer>: "<orders>"

    Examples:
      | orders           | answer  |
      | a@0              | allowed |
      | a@0 a@1          | allowed |
      | a@0 b@1          | allowed |
      | a@0 b@1 a@2      | refused |
      | a@0 b@1 b@2 a@3  | refused |
      | a@0 b@1 a@4      | allowed |
      | a@0 b@1 c@2      | allowed |

  Scenario Outline: <workers> workers with <free> cores free each, <waiting> cores waiting
    Given a pool of <workers> workers, each with <free> cores free
    And waiting work of <waiting> cores
    Then the pool should <answer>

    Examples:
      | workers | free | waiting | answer       |
      | 3       | 4    | 0       | not change   |
      | 3       | 4    | 10      | not change   |
      | 3       | 0    | 16      | scale up 1   |
      | 3       | 0    | 90      | scale up 4   |
      | 1       | 4    | 0       | not change   |
      | 3       | 16   | 0       | scale down 1 |
      | 6       | 16   | 0       | scale down 4 |
      | 2       | 16   | 0       | not change   |

  # Pattern: jobs of many tasks arrive at random, as many a second as the pool
  # can just do on average; for seconds there are more.
  Scenario Outline: <jobs> jobs a second, each of <cores> cores for 1 second
    Given workers of 16 cores
    Then the load is <mean> workers, and <more> more now and then

    Examples: the share of what it varies by falls as the load grows
      | jobs | cores | mean | more |
      | 1    | 8     | 0.5  | 0.0  |
      | 4    | 8     | 2.0  | 1.0  |
      | 32   | 8     | 16.0 | 2.8  |
      | 128  | 8     | 64.0 | 5.7  |
      | 16   | 64    | 64.0 | 16.0 |

  # Pattern: a backlog that the workers do not run yet, as after a take-over;
  # no jobs arrive.
  Scenario Outline: <idle> of <workers> workers are idle beside a backlog of <cores> cores
    Given a pool of <workers> workers, each with 16 cores free
    And waiting work of <cores> cores
    Then the pool should <answer>

    Examples: 24 core-seconds a worker are worked off in time
      | workers | idle | cores | answer        |
      | 20      | 20   | 240   | scale down 10 |
      | 20      | 20   | 480   | not change    |
      | 20      | 20   | 0     | scale down 18 |

  Scenario Outline: <jobs> jobs of 8 cores for 1 second, one every <gap> s
    Given a pool of 3 workers, each with 4 cores free
    And <jobs> jobs of 8 cores for 1 second, submitted every <gap> seconds
    And all of them are done
    Then the pool should <answer>

    Examples:
      | jobs | gap | answer     |
      | 1    | 0.1 | not change |
      | 2    | 2.0 | not change |
      | 8    | 1.0 | not change |
      | 8    | 0.2 | scale up 6 |
      | 8    | 0.1 | scale up 12 |

  Scenario Outline: Long-running tasks only on <workers> workers, <event>
    Given a pool of <workers> workers, each with 16 cores free
    And a long-running job that needs 2 workers, its 4 tasks spread over them
    And <event>
    Then the pool should <answer>

    Examples:
      | workers | event                               | answer       |
      | 4       | nothing else ran for 3 seconds      | drain 1      |
      | 4       | nothing else ran for 1 seconds      | not change   |
      | 2       | nothing else ran for 3 seconds      | not change   |
      | 4       | one has been draining for 1 seconds | not change   |
      | 4       | one has been draining for 4 seconds | uncordon 1   |
      | 4       | one has drained after 1 seconds     | scale down 1 |

  # Guards against idle machines that one drain kept from other pools.
  Scenario: Idle workers are released while another is drained
    Given a pool of 8 workers, each with 16 cores free
    And a long-running job that needs 2 workers, its 4 tasks spread over them
    And one has been draining for 1 seconds
    Then the pool should scale down 4

  Scenario: Work beyond a team's rate does not scale the pool up
    Given a pool of 3 workers, each with 0 cores free
    And waiting work of 90 cores, beyond its team's rate
    Then the pool should not change

  Scenario Outline: A team with 90 cores of waiting work may use <cores>
    Given a pool of <workers> workers, each with <free> cores free
    And its team may use <cores> cores
    And waiting work of 90 cores
    Then the pool should <answer>

    Examples:
      | workers | free | cores | answer       |
      | 3       | 0    | 0     | not change   |
      | 3       | 0    | 16    | scale up 1   |
      | 3       | 0    | 200   | scale up 4   |
      | 6       | 16   | 0     | scale down 4 |

  Scenario: An idle worker in a taken-out data centre returns to standby
    Given a pool of 2 workers, each with 16 cores free
    And one of the workers is in a taken-out data centre
    Then the pool should scale down 1

  Scenario Outline: Long-running tasks for <needed> workers on <workers>
    Given a pool of <workers> workers, each with 16 cores free
    And a long-running job that needs <needed> workers
    Then the pool should <answer>

    Examples:
      | needed | workers | answer       |
      | 3      | 1       | scale up 2   |
      | 3      | 3       | not change   |
      | 1      | 1       | not change   |
      | 3      | 5       | scale down 2 |

  Scenario Outline: A worker that <state> does not count as capacity
    Given a pool of 3 workers, each with 4 cores free
    And a long-running job that needs 3 workers
    And one of the workers <state>
    Then the pool should scale up 1

    Examples:
      | state                         |
      | is unresponsive               |
      | is in a taken-out data centre |

  # Pattern: the load of several pools rises at once, and one of them expects
  # more than the fleet has.
  Scenario Outline: A pool of <present> machines wants <wanted> of <free> on standby
    Given a fleet of <fleet> machines and 4 pools
    Then the pool takes <taken>

    Examples: it leaves some to others
      | fleet | present | wanted | free | taken |
      | 180   | 20      | 126    | 101  | 70    |
      | 180   | 96      | 39     | 25   | 0     |
      | 180   | 96      | 39     | 40   | 6     |
      | 30    | 3       | 30     | 20   | 14    |

    Examples: up to an even share it takes half of what there is
      | fleet | present | wanted | free | taken |
      | 180   | 30      | 21     | 12   | 6     |
      | 180   | 44      | 21     | 12   | 1     |
      | 180   | 45      | 21     | 12   | 0     |
      | 30    | 6       | 3      | 1    | 1     |

    Examples: it takes no more than it wants
      | fleet | present | wanted | free | taken |
      | 180   | 4       | 1      | 25   | 1     |
      | 180   | 4       | 1      | 0    | 0     |

  # Pattern: as before; the pools order in turn and know nothing of each other.
  Scenario: Four pools of a fleet of 180 machines that all want 100 more
    Given a fleet of 180 machines and 4 pools
    And the pools have 40, 10, 10 and 5 machines
    When each in turn takes what it may of 100 more, until none may
    Then each pool took 3 machines or more, and none is left

  Scenario: Pools share a team's upper limit without exceeding it
    Given three pools of a team that may use 100 cores
    When they request and return cores at random, seed 3, answers lost
    Then never more than 100 cores were granted in total
    And no pool spent more than its grant

  Scenario: Cores returned without an answer count as returned at once
    Given three pools of a team that may use 100 cores
    When the first is granted 100 cores and returns them, unanswered
    And the second requests 60 cores
    Then never more than 100 cores were granted in total
    And the second was granted 60 cores

  # Guards against an amount that stays granted in the row to a pool that
  # doesn't know of it, as its request got no answer.
  Scenario Outline: Cores granted <how>, and not needed any more
    Given three pools of a team that may use 100 cores
    When the first requests 100 cores, which are granted <how>
    And the second requests 60 cores
    Then never more than 100 cores were granted in total
    And the second was granted 60 cores

    Examples:
      | how               |
      | without an answer |
      | late              |
