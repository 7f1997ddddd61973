Feature: Machines are maintained and moved without breaking a promise

  Scenario: No more machines of a wave are down than it allows
    Given a wave of 5 machines with at most 1 down at once
    And two pools that hold 3 and 2 of them, without a load
    When both pools have had 400 turns
    Then at most 1 machines were down at once
    And each machine had its upkeep once
    And the wave was reported as completed once, at the end

  Scenario: A wave goes on with the next holder of the pool
    Given a wave of 3 machines with at most 1 down at once
    And two pools that hold 3 and 0 of them, without a load
    When both pools have had 2 turns
    And the first pool gets another holder
    And both pools have had 400 turns
    Then at most 1 machines were down at once
    And each machine had its upkeep once

  Scenario: Answers of the machines' API are lost
    Given a wave of 3 machines with at most 1 down at once
    And two pools that hold 3 and 0 of them, without a load
    And each second answer of the machines' API is lost
    When both pools have had 400 turns
    Then at most 1 machines were down at once
    And each machine had its upkeep once

  Scenario: A machine is not ordered before its worker is empty
    Given a wave of 1 machines with at most 1 down at once
    And two pools that hold 1 and 0 of them, with a load
    When both pools have had 20 turns
    Then no machine had its upkeep
    When the load has gone
    And both pools have had 20 turns
    Then each machine had its upkeep once

  Scenario: A worker that joins as the upkeep begins is emptied first
    Given a wave of 1 machines with at most 1 down at once
    And two pools that hold 1 and 0 of them, with a load
    And the first pool does not know its workers yet
    When both pools have had 2 turns
    And the first pool gets to know its workers
    And both pools have had 20 turns
    Then no machine had its upkeep
    When the load has gone
    And both pools have had 20 turns
    Then each machine had its upkeep once

  Scenario: A worker that is given back stays away from tasks for its upkeep
    Given a wave of 1 machines with at most 1 down at once
    And two pools that hold 1 and 0 of them, without a load
    And the worker of the first machine is being given back
    When both pools have had 4 turns
    Then the worker of the first machine leaves for "upkeep"

  Scenario: A machine that moves away as its upkeep begins blocks no other
    Given a wave of 3 machines with at most 3 down at once
    And two pools that hold 3 and 0 of them, with a load
    When both pools have had 2 turns
    And the machine whose upkeep has begun moves to the second pool
    And the load has gone
    And both pools have had 40 turns
    Then each machine had its upkeep once

  Scenario: A worker that never registers does not hold up its machine
    Given a wave of 1 machines with at most 1 down at once
    And two pools that hold 1 and 0 of them, without a load
    And the first pool does not know its workers yet
    When both pools have had 40 turns
    Then each machine had its upkeep once

  Scenario Outline: A wave of <count> machines in <seconds> seconds, <pool>
    Given a wave of <count> machines with at most 20 down at once
    And it is to be done within <seconds> seconds
    And a pool <pool> that holds all of them
    When it has had turns for <seconds> seconds
    Then at most <most> machines were down at once
    And each machine had its upkeep once

    Examples:
      | count | seconds | pool       | most |
      | 4     | 40      | in use     | 1    |
      | 12    | 26      | in use     | 6    |
      | 60    | 26      | on standby | 20   |

  Scenario Outline: A wave of <count> machines of a pool whose work waits
    Given a wave of <count> machines with at most 20 down at once
    And it is to be done within 26 seconds
    And a pool in use that holds all of them
    And its work always waits
    When it has had turns for 26 seconds
    Then each machine had its upkeep once

    Examples:
      | count |
      | 1     |
      | 2     |
      | 12    |

  Scenario Outline: Orders for one machine by <orders>
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

  Scenario Outline: <workers> workers with <free> cores free each, <waiting> cores wait
    Given a pool of <workers> workers, each with <free> cores free
    And work of <waiting> cores that waits
    Then the pool should <answer>

    Examples:
      | workers | free | waiting | answer   |
      | 3       | 4    | 0       | keep     |
      | 3       | 4    | 10      | keep     |
      | 3       | 0    | 16      | grow 1   |
      | 3       | 0    | 90      | grow 4   |
      | 1       | 4    | 0       | keep     |
      | 3       | 16   | 0       | shrink 1 |
      | 6       | 16   | 0       | shrink 4 |
      | 2       | 16   | 0       | keep     |

  Scenario Outline: <jobs> jobs of 8 cores for 1 second came, one each <gap> s
    Given a pool of 3 workers, each with 4 cores free
    And <jobs> jobs of 8 cores for 1 second that came one each <gap> seconds
    And all of them are done
    Then the pool should <answer>

    Examples:
      | jobs | gap | answer  |
      | 1    | 0.1 | keep    |
      | 2    | 2.0 | keep    |
      | 8    | 1.0 | keep    |
      | 8    | 0.2 | grow 4  |
      | 8    | 0.1 | grow 9  |

  Scenario Outline: Lasting tasks alone on each of <workers> workers, <event>
    Given a pool of <workers> workers, each with 16 cores free
    And a lasting job that needs 2 workers, its 4 tasks spread over them
    And <event>
    Then the pool should <answer>

    Examples:
      | workers | event                                | answer  |
      | 4       | nothing else ran for 3 seconds       | empty 1 |
      | 4       | nothing else ran for 1 seconds       | keep    |
      | 2       | nothing else ran for 3 seconds       | keep    |
      | 4       | one is being emptied for 1 seconds   | keep    |
      | 4       | one is being emptied for 4 seconds   | stay 1  |
      | 4       | one is empty after 1 seconds         | shrink 1 |

  Scenario: Work beyond a team's rate takes no machine from standby
    Given a pool of 3 workers, each with 0 cores free
    And work of 90 cores that waits, beyond its team's rate
    Then the pool should keep

  Scenario Outline: 90 cores of work wait of a team that may use <cores>
    Given a pool of <workers> workers, each with <free> cores free
    And its team may use <cores> cores
    And work of 90 cores that waits
    Then the pool should <answer>

    Examples:
      | workers | free | cores | answer   |
      | 3       | 0    | 0     | keep     |
      | 3       | 0    | 16    | grow 1   |
      | 3       | 0    | 200   | grow 4   |
      | 6       | 16   | 0     | shrink 4 |

  Scenario: An idle worker in a taken-out centre is given back
    Given a pool of 2 workers, each with 16 cores free
    And one of the workers is in a taken-out centre
    Then the pool should shrink 1

  Scenario Outline: Lasting tasks for <needed> workers on <workers>
    Given a pool of <workers> workers, each with 16 cores free
    And a lasting job that needs <needed> workers
    Then the pool should <answer>

    Examples:
      | needed | workers | answer   |
      | 3      | 1       | grow 2   |
      | 3      | 3       | keep     |
      | 1      | 1       | keep     |
      | 3      | 5       | shrink 2 |

  Scenario Outline: A worker that <state> is no room
    Given a pool of 3 workers, each with 4 cores free
    And a lasting job that needs 3 workers
    And one of the workers <state>
    Then the pool should grow 1

    Examples:
      | state                    |
      | is silent                |
      | is in a taken-out centre |

  Scenario: Pools share a team's upper limit without exceeding it
    Given three pools of a team that may use 100 cores
    When they ask and hand back at random with seed 3, answers being lost
    Then never were more than 100 cores granted in all
    And no pool spent more than its grant

  Scenario: A hand-back without an answer counts at once
    Given three pools of a team that may use 100 cores
    When the first is granted 100 cores and hands them back, unanswered
    And the second asks for 60 cores
    Then never were more than 100 cores granted in all
    And the second was granted 60 cores
