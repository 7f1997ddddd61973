Feature: No team has more running than its upper limit
  The limit is divided into grants ahead of need. It holds in outages,
  through restarts and replacements, and while limits are lowered.

  Background:
    Given entry VMs "a" and "b" in "north" with 6 workers
    And team "tally" may run 6 tasks

  Scenario: Two entry VMs, more tasks than the limit
    When 20 tasks of 60 seconds are submitted to "a" and to "b"
    And both have had 20 turns
    Then at most 6 tasks are running and at least 5 are

  Scenario Outline: The limit holds while <trouble>
    When 20 tasks of 60 seconds are submitted to "a" and to "b"
    And both have had 4 turns
    And <trouble>
    And both have had 20 turns
    Then at most 6 tasks are running and at least <least> are

    Examples: troubles
      | trouble                                          | least |
      | the table service is down for "a"                | 3     |
      | the table service is down for "b"                | 3     |
      | answers of the table service are lost at random  | 3     |
      | starts on the workers get no answer at random    | 3     |
      | the process on "a" is killed and starts again    | 3     |
      | "a" is killed and the platform says it is gone   | 3     |

  Scenario: The grant of a VM that is gone comes back when its leases lapsed
    When 20 tasks of 60 seconds are submitted to "a" and to "b"
    And both have had 4 turns
    And "a" is killed and the platform says it is gone
    And the workers' leases of "a" lapse
    And "b" has had 20 turns of everything
    Then at most 6 tasks are running and at least 5 are

  Scenario: A lowered limit takes effect as grants come back
    When 20 tasks of 0.05 seconds are submitted to "a" and to "b"
    And both have had 4 turns
    And an operator lowers the limit of "tally" to 2 tasks
    And running tasks end
    And both have had 20 turns
    And running tasks end
    And both have had 20 turns
    And running tasks end
    And both have had 20 turns
    Then at most 2 tasks are running and at least 0 are
    And at least 12 tasks were started in all

  Scenario Outline: The grant of "a" after <lapsed> of the leases' time
    Given "a" holds a grant and the list says that it is <listed>
    When <lapsed> of the time in which its leases lapse has passed
    Then reclaiming the grant is <answer>

    Examples: when a grant may be reclaimed
      | listed  | lapsed | answer  |
      | gone    | 0 %    | refused |
      | gone    | 99 %   | refused |
      | gone    | 100 %  | allowed |
      | leaving | 100 %  | refused |

  Scenario: An entry VM that is frozen strands little
    When 20 tasks of 60 seconds are submitted to "b"
    And "b" has had 20 turns of everything
    Then at most 6 tasks are running and at least 5 are

  Scenario: A grant is handed back while another change of it is under way
    Given a VM that holds 4 of 6 in the row
    When it hands 3 back and adopts 1 of another VM at the same time
    Then it holds no more than the row says

  Scenario Outline: Adopted tasks whose grant can be taken <when>
    When 4 tasks of 60 seconds are submitted to "a"
    And both have had 4 turns
    And "b" can take over grants only <when>
    And "a" is killed and the platform says it is gone
    And "b" has had 60 turns of everything
    Then <running> adopted tasks are running and none is lost

    Examples: what no grant covers is checkpointed before the reclaim
      | when            | running |
      | at once         | 4       |
      | at the 3rd time | 4       |
      | never           | 0       |
