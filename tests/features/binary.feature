@processes
Feature: The program is distributed as one binary
  The binary runs from an empty directory, unpacks into a memory file
  system and starts no child process.

  Scenario: The binary serves from an empty directory as one process
    Given the binary is built
    When it serves from an empty directory with a memory file system
    Then it answers "/healthz" with status 200 within 30 seconds
    And it has no child process and the directory is still empty
    And it exits with status 0 on SIGTERM
