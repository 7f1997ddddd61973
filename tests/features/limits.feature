Feature: No team has more running than its upper limit
  The limit is divided into grants in advance. It holds during outages,
  restarts and replacements, and while the limit is lowered.

  Background:
    Given entry VMs "a" and "b" in "north" with 6 workers
    And team "tally" may run 6 tasks

  Scenario: Two entry VMs, more tasks than the limit
    When 20 tasks of 60 seconds are submitted to "a" and to "b"
    And both have run 20 scheduling rounds
    Then at most 6 tasks are running and at least 5 are

  Scenario Outline: The limit holds while <trouble>
    When 20 tasks of 60 seconds are submitted to "a" and to "b"
    And both have run 4 scheduling rounds
    And <trouble>
    And both have run 20 scheduling rounds
    Then at most 6 tasks are running and at least <least> are

    Examples: troubles
      | trouble                                          | least |
      | the table service is down for "a"                | 3     |
      | the table service is down for "b"                | 3     |
      | answers of the table service are lost at random  | 3     |
      | starts on the workers get no answer at random    | 3     |
      | the process on "a" is killed and starts again    | 3     |
      | "a" is killed and the platform says it is gone   | 3     |

  Scenario: The grant of a VM that is gone is reclaimed after its leases expire
    When 20 tasks of 60 seconds are submitted to "a" and to "b"
    And both have run 4 scheduling rounds
    And "a" is killed and the platform says it is gone
    And the workers' leases of "a" expire
    And "b" has done 20 rounds of all periodic work
    Then at most 6 tasks are running and at least 5 are

  Scenario: A lowered limit takes effect as grants are returned
    When 20 tasks of 0.05 seconds are submitted to "a" and to "b"
    And both have run 4 scheduling rounds
    And an operator lowers the limit of "tally" to 2 tasks
    And running tasks finish
    And both have run 20 scheduling rounds
    And running tasks finish
    And both have run 20 scheduling rounds
    And running tasks finish
    And both have run 20 scheduling rounds
    Then at most 2 tasks are running and at least 0 are
    And at least 12 tasks were started in all

  Scenario Outline: The grant of "a" after <elapsed> of the lease duration
    Given "a" holds a grant and is listed as <listed>
    When <elapsed> of its lease duration has passed
    Then reclaiming the grant is <answer>

    Examples: when a grant may be reclaimed
      | listed  | elapsed | answer  |
      | gone    | 0 %     | refused |
      | gone    | 99 %    | refused |
      | gone    | 100 %   | allowed |
      | leaving | 100 %   | refused |

  Scenario: A frozen entry VM makes little of the limit unusable
    When 20 tasks of 60 seconds are submitted to "b"
    And "b" has done 20 rounds of all periodic work
    Then at most 6 tasks are running and at least 5 are

  # Guards against a VM that never takes its grants over, and starts nothing.
  Scenario: Grants are restored although other VMs change their rows
    Given 5 rows with a grant of VM "a", one of which changes before each write
    When VM "a" restores its grants 3 times
    Then all its grants are restored

  Scenario: A grant is returned while another change of it is in progress
    Given a VM with a grant of 4 out of 6 in the row
    When it returns 3 and adopts 1 from another VM at the same time
    Then its local grant is at most that in the row

  Scenario Outline: Adopted tasks whose grant can be taken <when>
    When 4 tasks of 60 seconds are submitted to "a"
    And both have run 4 scheduling rounds
    And "b" can take over grants only <when>
    And "a" is killed and the platform says it is gone
    And "b" has done 60 rounds of all periodic work
    Then <running> adopted tasks are running and none is lost

    Examples: tasks without a grant are checkpointed before the reclaim
      | when            | running |
      | at once         | 4       |
      | at the 3rd time | 4       |
      | never           | 0       |
