Feature: Only processes that hold pools follow the workers
  A process reads every change of every worker that it follows. In a large
  fleet most processes hold no pool.

  Scenario: A process without pools reads no entry of a worker
    Given a process that watches a table of workers "a", "b" and "c"
    When 3 entries change
    Then it has read 0 times from the store

  Scenario: A process acquires a pool
    Given a process that watches a table of workers "a", "b" and "c"
    When it acquires a pool
    Then the workers are not known until they were read
    And workers "a", "b" and "c" are followed

  # Guards against a worker that had left and was used again.
  Scenario: A worker leaves while a process holds no pool
    Given a process that watches a table of workers "a", "b" and "c"
    And it has held a pool and given it up
    When worker "b" is removed from the table
    And it acquires a pool
    Then the workers are not known until they were read
    And workers "a" and "c" are followed

  Scenario: A process holds two pools and gives one up
    Given a process that watches a table of workers "a", "b" and "c"
    When it acquires 2 pools and gives 1 up
    And worker "b" is removed from the table
    Then workers "a" and "c" are followed

  Scenario: A new holder recovers only with known workers
    Given a holder of a pool
    When the workers are not known yet
    Then it does not recover
