@processes
Feature: The whole path, in separate processes
  A caller's request, a task and an operator's change go from end to end.

  Scenario: A request, a task and a change
    Given a deployment with the usual assurances
    And a key for team "tally"
    When the team asks each entry VM for service "tally"
    Then every answer is whole and the caller's own
    When the team submits a task to queue "count"
    Then the task is done within 10 seconds
    When an operator withdraws the key
    Then the change is accepted
    And no entry VM takes work with the key
