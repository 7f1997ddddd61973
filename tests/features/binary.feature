@processes
Feature: It ships as one binary
  The binary runs from an empty directory, with a memory file system for
  what it unpacks, and starts no other process.

  Scenario: The binary serves, from an empty directory, as one process
    Given the binary is built
    When it serves from an empty directory with a memory file system
    Then it answers "/healthz" with status 200 within 30 seconds
    And it has no child process and the directory stayed empty
    And it leaves with status 0 when asked
