Feature: The end of a job is stored exactly once
  Every row is written on condition of its last known version, so that a call
  that takes effect late changes nothing.

  Background:
    Given a journal and a store

  Scenario: The end of a job replaces its progress
    When a job makes progress
    And the journal is stored
    Then the store has progress of the job
    When the job ends
    And the journal is stored
    Then the store has the end of the job and no other row of it

  Scenario Outline: The end of a job is stored though an answer is <fault>
    When a job makes progress
    And the journal is stored
    And the job ends
    And the next answer is <fault>
    And the journal is stored until it is empty
    And late calls take effect
    Then the store has the end of the job and no other row of it

    Examples:
      | fault   |
      | lost    |
      | late    |
      | refused |

  Scenario: A job is marked again while its end is being stored
    When a job makes progress
    And the journal is stored
    And the job ends
    And it is marked again while its end is being stored
    And another job makes progress
    And the journal is stored until it is empty
    Then the store has the end of the job and no other row of it
    And the end of the job was written once

  # Guards against ends that are stored a second late, behind a conflict.
  Scenario: A job that ends while its progress is being stored
    When a job makes progress
    And it ends while its progress is being stored
    And the journal is stored without a conflict
    Then the store has the end of the job and no other row of it

  Scenario: A late write does not overwrite newer progress
    When a job makes progress
    And the next answer is late
    And the journal is stored
    And the job makes more progress
    And the journal is stored until it is empty
    And late calls take effect
    Then the store has the later progress

  Scenario: A mark counts as stored only once its job is stored
    When 40 jobs make progress
    And the first batch is requeued
    Then no mark counts as stored
    When the journal is stored
    Then only marks of stored jobs count as stored

  Scenario: An older mark of a job that is marked again is not stored sooner
    When 40 jobs make progress
    And the first job after the first batch makes progress again
    And the journal is stored
    Then only marks of stored jobs count as stored

  Scenario: The older mark of a job that is marked again while its batch fails
    When 40 jobs make progress
    And the first batch is requeued after its first job made progress again
    And 18 of the other jobs are stored first
    Then no mark counts as stored
