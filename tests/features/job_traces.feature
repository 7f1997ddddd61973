Feature: The log tells from a job's id why it is lost or stands still
  An accepted job is traced from its acknowledgement to its stored end.

  Background:
    Given the log is recorded

  Scenario Outline: A job that is <way>
    Given an inbox of a pool
    And the store has a job of 0.7 seconds ago with progress of version <progress>
    When the inbox is <event>
    And the inbox is told again of the job
    Then a line "job loaded" says
      | field     | value            |
      | job       | 00000000000000aa |
      | queue     | checks           |
      | pool      | count            |
      | epoch     | 7                |
      | version   | <version>        |
      | progress  | <progress>       |
      | recovered | <recovered>      |
      | age       | 0.7              |
    And 1 lines "job loaded" are written

    Examples:
      | way                           | event           | progress | version | recovered |
      | accepted while the pool runs  | told of the job | 0        | 1       | False     |
      | taken over before it started  | recovered       | 0        | 1       | True      |
      | taken over after it started   | recovered       | 2        | 1       | True      |

  Scenario: More jobs are taken over than lines are written for
    Given an inbox of a pool
    And the store has 130 jobs
    When the inbox is recovered
    Then 100 lines "job loaded" are written
    And 2 lines "jobs loaded" are written
    And a line "jobs loaded" says
      | field | value                                                                                                                                                                                                   |
      | jobs  | 0000000000000078/121 0000000000000079/122 000000000000007a/123 000000000000007b/124 000000000000007c/125 000000000000007d/126 000000000000007e/127 000000000000007f/128 0000000000000080/129 0000000000000081/130 |
      | pool  | count                                                                                                                                                                                                   |

  Scenario Outline: A cancellation of a job that <state>
    Given an inbox of a pool
    And the store has a job of 0.7 seconds ago with progress of version 0
    When the job <state>
    And the inbox is told of its cancellation
    Then a line "job cancellation loaded" says
      | field   | value            |
      | job     | 00000000000000aa |
      | pool    | count            |
      | version | 5                |
      | effect  | <effect>         |

    Examples:
      | state              | effect                             |
      | is loaded          | cancelling                         |
      | has been cancelled | job has ended: cancelled           |
      | is unknown         | job is not loaded; removing the row |

  Scenario: A row that can't be decoded is skipped
    Given an inbox of a pool
    When the inbox is told of a row that is no job
    Then a line "job row skipped: not decodable" says
      | field   | value            |
      | job     | 00000000000000aa |
      | pool    | count            |
      | version | 4                |
    And no line "job loaded" is written

  # Guards against a job that another process removes without a trace here.
  Scenario: The row of a job that has not ended is removed
    Given an inbox of a pool
    And the store has a job of 0.7 seconds ago with progress of version 0
    When the job is loaded
    And the inbox is told that its row was removed
    Then a line "row of a loaded job removed" says
      | field | value            |
      | job   | 00000000000000aa |
      | pool  | count            |
