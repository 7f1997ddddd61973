@processes
Feature: Ports of the processes that tests start
  Deployments choose their ports before their processes listen on them, also
  while other deployments choose theirs.

  Scenario: No port is reserved twice
    When 3 processes reserve 300 ports each at the same time
    Then all reserved ports differ

  Scenario: A server listens on a reserved port, also after a restart
    Given a reserved port
    Then a connection to the port is refused
    When a backend server is started on the port in another process
    Then the backend server answers
    When the backend server is killed and started again
    Then the backend server answers
    And another process cannot bind the port

  Scenario: A released port can be reserved again
    Given a reserved port
    When the port is released
    Then another process can bind the port
