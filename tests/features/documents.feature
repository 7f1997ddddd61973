Feature: The documents say what the program does

  Scenario: The table of result codes is the program's
    Then docs/RESULT-CODES.md ends with the table that the program prints

  Scenario: The drawn charts are those that the code interprets
    Then docs/DESIGN.md holds the drawing of chart "vm"
    And docs/DESIGN.md holds the drawing of chart "task"
    And docs/DESIGN.md holds the drawing of chart "wave"

  Scenario: The examples are correct
    Then the settings "malanad.toml" and "kalliope.toml" are correct
    And the files "malanad-assurances.toml" and "kalliope-assurances.toml" have no fault

  Scenario: Every command in the documents exists
    Then each "agaterudder" command in the documents is one of the program's

  Scenario: Every promise of the brief has a row and each named feature exists
    Then docs/PROMISES.md has a row for each of 11 promises
    And each feature that it names is in tests/features

  Scenario: The model table is the checker's
    Then docs/MODELS.md ends with the table that the checker prints

  Scenario: Faults of settings and assurance files are named
    Then each of these settings is refused with its words
      | settings                                  | words                     |
      | [entry]                                   | missing required field    |
      | colour = 1                                | unknown field `colour`    |
      | timing.silence_seconds = 0.1              | silence_seconds           |
      | timing.pause_seconds = 60.0               | pause_seconds             |
      | timing.pause_seconds = "long"             | $.timing.pause_seconds    |
      | entry.http = "localhost"                  | $.entry.http              |
    And each of these assurance lines is refused at its place
      | line                                          | column | words              |
      | team.a = { share = 1 }                        | 23     | who asked          |
      | team.a = { share = -1 }  # Ane                | 12     | share              |
      | team.a = { shore = 1 }  # Ane                 | 12     | shore              |
      | team.a = { share = 1  # Ane                   | 21     | ends too early     |
      | flock.a = { share = 1 }  # Ane                | 1      | unknown kind       |
      | pool.a = { out = 0 }  # Ane                   | 1      | no maintenance     |
      | queue.a = { pool = "b" }  # Ane               | 1      | no pool b          |
      | class.a = { start_seconds = 1 }  # Ane        | 7      | unknown class      |
