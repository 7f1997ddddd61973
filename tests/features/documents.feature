Feature: The documentation matches the program

  Scenario: The table of result codes is up to date
    Then docs/RESULT-CODES.md ends with the table that the program prints

  Scenario: The state diagrams show the charts that the code interprets
    Then docs/DESIGN.md contains the diagram of chart "vm"
    And docs/DESIGN.md contains the diagram of chart "task"
    And docs/DESIGN.md contains the diagram of chart "wave"

  Scenario: The examples are valid
    Then the settings "malanad.toml" and "kalliope.toml" are valid
    And the assurance files "malanad-assurances.toml" and "kalliope-assurances.toml" have no fault

  Scenario: Every command in the documentation exists
    Then each "agaterudder" command in the documentation exists

  Scenario: Every promise has a row and each feature that it names exists
    Then docs/PROMISES.md has a row for each of 11 promises
    And each feature that it names is in tests/features

  Scenario: The table of models is up to date
    Then docs/MODELS.md ends with the table that the checker prints

  Scenario: Error messages name the fault in settings and assurance files
    Then each of these settings is rejected with the given words
      | settings                                  | words                     |
      | [entry]                                   | missing required field    |
      | colour = 1                                | unknown field `colour`    |
      | timing.silence_seconds = 0.1              | silence_seconds           |
      | timing.pause_seconds = 60.0               | pause_seconds             |
      | timing.pause_seconds = "long"             | $.timing.pause_seconds    |
      | entry.http = "localhost"                  | $.entry.http              |
    And each of these assurance lines is rejected at the given column
      | line                                          | column | words              |
      | team.a = { share = 1 }                        | 23     | who asked          |
      | team.a = { share = -1 }  # Ane                | 12     | share              |
      | team.a = { shore = 1 }  # Ane                 | 12     | shore              |
      | team.a = { share = 1  # Ane                   | 21     | ends too early     |
      | flock.a = { share = 1 }  # Ane                | 1      | unknown kind       |
      | pool.a = { out = 0 }  # Ane                   | 1      | no maintenance     |
      | queue.a = { pool = "b" }  # Ane               | 1      | no pool b          |
      | class.a = { start_seconds = 1 }  # Ane        | 7      | unknown class      |
