Feature: Ends are stored once, before they are acknowledged
  Every row is written under the version that it had, so that a call that
  takes effect late changes nothing.

  Background:
    Given a journal and a store

  Scenario: Progress, then the end of a job
    When a job makes progress
    And the journal is stored
    Then the store has progress of the job
    When the job ends
    And the journal is stored
    Then the store has the end of the job and nothing else of it

  Scenario Outline: The end of a job while the store's answer is <fault>
    When a job makes progress
    And the journal is stored
    And the job ends
    And the next answer is <fault>
    And the journal is stored until nothing is left
    And late calls are carried out
    Then the store has the end of the job and nothing else of it

    Examples:
      | fault   |
      | lost    |
      | late    |
      | refused |

  Scenario: A job that is marked again while its end is being stored
    When a job makes progress
    And the journal is stored
    And the job ends
    And it is marked while its end is being stored
    And another job makes progress
    And the journal is stored until nothing is left
    Then the store has the end of the job and nothing else of it
    And the end of the job was written once

  Scenario: A late write does not bring older progress back
    When a job makes progress
    And the next answer is late
    And the journal is stored
    And the job makes more progress
    And the journal is stored until nothing is left
    And late calls are carried out
    Then the store has the later progress

  Scenario: Marks count as stored only when their job is
    When 40 jobs make progress
    And the first batch is taken back
    Then no mark counts as stored
    When the journal is stored
    Then only marks of stored jobs count as stored

  Scenario: An older mark of a job that is marked again is not stored sooner
    When 40 jobs make progress
    And the first that is not in the first batch makes progress again
    And the journal is stored
    Then only marks of stored jobs count as stored

  Scenario: An older mark of a job that is marked while its batch fails
    When 40 jobs make progress
    And the first batch is taken back after its first job made progress again
    And 18 of the others are stored first
    Then no mark counts as stored
