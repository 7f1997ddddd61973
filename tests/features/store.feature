Feature: Writes to the table service
  A transaction takes effect at most once, and its outcome is told as it is,
  also when its answers are lost.

  Scenario Outline: A transaction with <faults>
    Given a table service in which another VM <meanwhile>
    When a row is written while the transport shows "<faults>"
    Then the outcome is "<outcome>"
    And the row was written <times> times by this transaction

    Examples: what the caller hears is what happened
      | faults                              | meanwhile     | outcome        | times |
      | ok                                  | does nothing  | committed      | 1     |
      | refused                             | does nothing  | committed      | 1     |
      | lost request                        | does nothing  | committed      | 1     |
      | lost answer                         | does nothing  | committed      | 1     |
      | lost answer,lost answer             | does nothing  | committed      | 1     |
      | lost answer,lost answer,lost answer | does nothing  | CHANGE_UNKNOWN | 1     |
      | lost request,lost request,lost request | does nothing | CHANGE_UNKNOWN | 0   |
      | refused,refused,refused             | does nothing  | STORE_AWAY     | 0     |
      | ok                                  | writes first  | conflicted     | 0     |
      | lost request                        | writes first  | conflicted     | 0     |
      | lost answer                         | writes after  | committed      | 1     |

  Scenario: While the table service is away nothing is sent
    Given a table service in which another VM does nothing
    When a row is written while the transport shows "refused,refused,refused"
    And another row is written at once
    Then the outcome is "STORE_AWAY"
    And the refusal says truly that nothing was run
