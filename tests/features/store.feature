Feature: Writes to the table service
  A transaction takes effect at most once, and its outcome is reported
  correctly even when answers are lost.

  Scenario Outline: A transaction with <faults>
    Given a table service in which another VM <meanwhile>
    When a row is written while the transport has the faults "<faults>"
    Then the outcome is "<outcome>"
    And the row was written <times> times by this transaction

    Examples: the reported outcome is what happened
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

  Scenario: No transaction is sent while the table service is unavailable
    Given a table service in which another VM does nothing
    When a row is written while the transport has the faults "refused,refused,refused"
    And another row is written immediately
    Then the outcome is "STORE_AWAY"
    And the refusal says that nothing was executed
