Feature: Metrics of store calls by outcome
  On-call engineers see from the metrics whether the store is slow, refuses
  or does not answer.

  Scenario Outline: A transaction that is <fault>
    Given a store with metrics
    When a transaction is <fault> after 0.2 seconds
    Then the metrics show 1 "transact" call of 0.2 seconds with outcome "<outcome>"

    Examples:
      | fault    | outcome        |
      | ok       | ok             |
      | refused  | store_away     |
      | lost     | change_unknown |
      | conflict | conflict       |

  Scenario Outline: A <call> while the store is <state>
    Given a store with metrics
    When a <call> takes 0.2 seconds while the store is <state>
    Then the metrics show 1 "<call>" call of 0.2 seconds with outcome "<outcome>"

    Examples:
      | call | state | outcome   |
      | read | there | ok        |
      | scan | there | ok        |
      | read | away  | no answer |
      | scan | away  | no answer |
