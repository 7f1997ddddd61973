Feature: Checks of the test run
  The checks before the features run in parallel, so they may share no file
  that they write.

  Scenario: Two type checks never write to one cache folder
    When the checks of the test run are listed
    Then each type check names a cache folder of its own
