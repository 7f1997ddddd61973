Feature: Logs explain what happened and never hold up the process

  Scenario: A reader that stops reading
    Given a log whose reader does not read
    When 20000 lines and then 10 warnings are logged
    Then logging took less than 3 seconds
    And at most 6000 lines are kept in memory
    When the reader reads on
    Then it gets all 10 warnings
    And it is told how many lines were dropped

  Scenario: A kind of line that comes too often
    When 1000 lines of kind "task placed" come within a second
    And 1000 warnings of kind "start unanswered" come within a second
    Then 300 lines of kind "task placed" are written and 700 are counted
    And 1000 lines of kind "start unanswered" are written and 0 are counted

  Scenario: A new second
    When 1000 lines of kind "task placed" come within a second
    And a second passes
    And 10 lines of kind "task placed" come within a second
    Then 310 lines of kind "task placed" are written and 700 are counted
