Feature: An accepted configuration is in force everywhere and never reverts
  Keys are granted and withdrawn, and data centres taken out and put back, at
  any time and at any entry VM. A tightening change applies on a process as
  soon as it is received.

  Background:
    Given entry VMs in data centres "north,middle,south" with a worker each

  Scenario: A change is accepted when every entry VM has it
    When an operator at "entry-north" replaces the assurances
    Then the change is pending and names "entry-middle,entry-south"
    When the entry VMs exchange gossip
    Then version 2 is in force everywhere

  Scenario Outline: A process at version 2 is offered version <offered>
    When an operator at "entry-north" replaces the assurances
    And "entry-north" is offered version <offered>
    Then "entry-north" has version <version>

    Examples: versions only increase
      | offered | version |
      | 1       | 2       |
      | 2       | 2       |
      | 3       | 3       |

  Scenario: Of two concurrent changes, one is recorded and one refused
    When operators at "entry-north" and "entry-south" replace version 1
    Then one change is recorded and the other refused with "CONFLICT"

  Scenario Outline: A key is withdrawn while <trouble>
    Given a key of team "tally" that works everywhere
    When <trouble>
    And an operator at "entry-north" withdraws the key
    And the connected entry VMs exchange gossip
    Then the key is refused at "<refused>"
    And the outcome says "<outcome>"
    When every fault is healed and one round passes
    Then the key is refused at "entry-north,entry-middle,entry-south"
    And no entry VM went back to a lower version

    Examples: troubles
      | trouble                            | refused                             | outcome  |
      | nothing is wrong                   | entry-north,entry-middle,entry-south | pending |
      | the table service is down for all  | entry-north,entry-middle,entry-south | pending |
      | "entry-south" is cut off from all  | entry-north,entry-middle            | pending  |
      | the answer of the write is lost    | entry-north,entry-middle,entry-south | pending |

  Scenario: A withdrawal at an isolated entry VM is kept until it is recorded
    Given a key of team "tally" that works everywhere
    When "entry-south" is cut off from all
    And an operator at "entry-south" withdraws the key
    Then the key is refused at "entry-south"
    When every fault is healed and one round passes
    Then the key is refused at "entry-north,entry-middle,entry-south"

  Scenario: A process that starts during an outage refuses keyed work
    Given a key of team "tally" that works everywhere
    When the table service is down for all
    And the process on "entry-south" starts again
    Then work of team "tally" is refused at "entry-south" with "STALE"

  Scenario Outline: After <seconds> seconds of isolation keyed work is <answer>
    When "entry-south" has had no contact for <seconds> seconds
    Then work of team "tally" at "entry-south" is "<answer>"
    And work on open queues at "entry-south" is "taken"

    Examples:
      | seconds | answer   |
      | 5       | taken    |
      | 299     | taken    |
      | 302     | ISOLATED |

  Scenario Outline: Cut off from the table service, in contact with <heard>
    When "entry-south" has had no contact for 302 seconds
    And "entry-south" is in contact with "<heard>" but not with the table service
    Then work of team "tally" at "entry-south" is "<answer>"

    Examples: contact is needed with every VM that may accept a change
      | heard                    | answer   |
      | entry-north,entry-middle | taken    |
      | entry-north              | ISOLATED |
      | entry-middle             | ISOLATED |

  Scenario Outline: Two VMs in "north", contact with <heard>, no table service
    Given "c" in "south" knows "a1" and "a2" in "north" and is in contact with "<heard>"
    Then keyed work at "c" is "<answer>" after the grace period

    Examples: contact with one VM of a data centre does not cover the other
      | heard | answer   |
      | a1,a2 | taken    |
      | a1    | ISOLATED |
      | a2    | ISOLATED |

  Scenario Outline: A process that was paused <contact>
    When "entry-south" was paused for 10 seconds
    And "entry-south" <contact>
    Then work of team "tally" at "entry-south" is "<answer>"

    Examples:
      | contact                                       | answer |
      | has had no contact since                      | STALE  |
      | got an answer to a call made before the pause | STALE  |
      | got an answer to a call made after the pause  | taken  |

  Scenario: No task starts in a data centre that was taken out
    Given a key of team "tally" that works everywhere
    When an operator at "entry-north" takes "south" out
    And the entry VMs exchange gossip
    Then a start at "entry-south" is "DATA_CENTRE_OUT"
    And a start at "entry-north" is "taken"
    When 5 tasks are submitted at "entry-south" and rounds pass
    Then no task was started in "south" and the others run them
    When an operator at "entry-north" puts "south" back
    And the entry VMs exchange gossip
    And 5 tasks are submitted at "entry-south" and rounds pass
    Then tasks were started in "south"

  Scenario: A data centre is taken out during an outage of the table service
    When the table service is down for all
    And an operator at "entry-north" takes "south" out
    And the connected entry VMs exchange gossip
    Then "south" is out at "entry-north,entry-middle,entry-south"
    And a start at "entry-south" is "DATA_CENTRE_OUT"
    When every fault is healed and one round passes
    Then "south" is out at "entry-north,entry-middle,entry-south"
