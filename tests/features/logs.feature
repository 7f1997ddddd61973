Feature: Logging is bounded and never blocks the process

  Scenario: A reader that stops reading
    Given a log whose reader has stopped reading
    When 20000 lines and then 10 warnings are logged
    Then logging took less than 3 seconds
    And at most 6000 lines are kept in memory
    When the reader resumes reading
    Then it gets all 10 warnings
    And the log states how many lines were dropped

  Scenario: An event that is logged above its rate limit
    When 1000 lines of event "request forwarded" come within a second
    And 1000 warnings of event "server ejected" come within a second
    Then 300 lines of event "request forwarded" are written and 700 are counted
    And 1000 lines of event "server ejected" are written and 0 are counted

  Scenario: The rate limit counts each second anew
    When 1000 lines of event "request forwarded" come within a second
    And a second passes
    And 10 lines of event "request forwarded" come within a second
    Then 310 lines of event "request forwarded" are written and 700 are counted
