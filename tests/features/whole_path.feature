@processes
Feature: End to end, in separate processes
  A caller's request, a task and an operator's change pass through a
  deployment of separate processes.

  Scenario: A request, a task and a change
    Given a deployment with the usual assurances
    And a key for team "tally"
    When the team sends each entry VM a request for service "tally"
    Then every answer is whole and the caller's own
    When the team submits a task to queue "count"
    Then the task is done within 10 seconds
    When an operator withdraws the key
    Then the change is accepted
    And no entry VM accepts work with the key
