@processes
Feature: Several kinds of faults at the same time
  Entry processes are killed and paused, the table service goes down and
  loses answers, and backend servers break answers, in a seeded order, while
  requests are sent and tasks submitted.

  Scenario Outline: Fifteen seconds of random faults, seed <seed>
    Given a small deployment with a key for team "tally"
    And team "tally" may run 6 tasks in the deployment
    When requests and tasks are sent for 15 seconds with faults of seed <seed>
    Then every answer is complete and its request ran at most once
    And no request refused as not run was executed by a backend server
    And at most 6 tasks of the team ran at once
    And every recorded task ends within 60 seconds, and none ran twice

    Examples:
      | seed |
      | 1    |
      | 7    |
