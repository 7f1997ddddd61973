@processes
Feature: Troubles come together
  Entry processes are killed and paused, the table service goes down and
  loses answers, and backend servers break answers, in a seeded order, while
  requests and tasks flow.

  Scenario Outline: Fifteen seconds of troubles, seed <seed>
    Given a small deployment with a key for team "tally"
    And team "tally" may run 6 tasks in the deployment
    When requests and tasks flow for 15 seconds under troubles of seed <seed>
    Then every answer is whole and its request ran at most once
    And every refusal that says not run is true at the backend servers
    And never more than 6 tasks of the team ran at once
    And every recorded task ends within 60 seconds, and none ran twice

    Examples:
      | seed |
      | 1    |
      | 7    |
