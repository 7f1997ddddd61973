Feature: Model checking of the core protocol
  The invariant of each specification holds in every state, and each of its
  guards is needed: without it the checker finds a counterexample.

  Scenario Outline: Specification <name>
    When the checker searches every state of "<name>"
    Then the invariant holds and the search was exhaustive
    And at least <states> states were searched
    And disabling any single guard yields a counterexample

    Examples:
      | name       | states |
      | escrow     | 2000   |
      | claim      | 2000   |
      | acceptance | 100    |
      | pool       | 1000   |
      | budget     | 5000   |
      | ends       | 50000  |
      | takeover   | 500    |
      | latestarts | 3000   |
      | grants     | 500    |
      | crashes    | 2000   |
