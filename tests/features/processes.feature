@processes
Feature: Guarantees hold when processes are killed, paused, cut off or replaced
  Each entry VM is a process of its own; load is bounded and seeds are fixed.

  Scenario: An entry process is killed under load
    Given a small deployment with a key for team "tally"
    When requests that may not be repeated are sent to every entry VM
    And entry VM "entry-north-0" is killed
    And requests are sent for 2 seconds more
    Then every answer is complete and its request ran at most once
    And no request refused as not run was executed by a backend server
    And the other entry VMs answered after the kill

  Scenario: A graceful shutdown cuts no request
    Given a small deployment with a key for team "tally"
    When requests are sent to entry VM "entry-north-0"
    And entry VM "entry-north-0" is asked to shut down
    Then it exits with status 0 within 10 seconds
    And every request that a backend server executed was answered in full
    And later requests got no answer and were not executed

  Scenario: A resumed entry process accepts no key withdrawn during its pause
    Given a small deployment with a key for team "tally"
    When entry VM "entry-south-0" is paused
    And an operator withdraws the key
    Then the change is pending and only "entry-south-0" has not confirmed it
    When entry VM "entry-south-0" is resumed 4 seconds after the pause
    Then no request with the key is accepted at "entry-south-0"

  Scenario: The table service is down for a while
    Given a small deployment with a key for team "tally"
    And 4 tasks of 1 second are recorded
    When the table service goes down
    Then requests for services are answered at every entry VM
    And a submission is refused or its outcome is reported as unknown
    And within 5 seconds submissions are refused as not run
    When the table service comes back
    Then submissions are recorded again within 10 seconds
    And every recorded task is done within 20 seconds

  Scenario: The entry VMs are replaced one by one and then all at once
    Given a small deployment with a key for team "tally"
    And 6 tasks of 2 seconds are recorded
    When each entry VM is replaced, one after another
    Then requests of team "tally" are accepted at every entry VM
    When all entry VMs are killed and started again
    Then requests of team "tally" are accepted at every entry VM
    And every recorded task is done within 60 seconds
    And no recorded task was started twice

  Scenario: An entry VM without local backend servers uses another data centre
    Given a small deployment with a key for team "tally"
    When every backend server of "north" is killed
    Then requests at "entry-north-0" are answered through another data centre
    And every answer is complete and its request ran at most once

  Scenario: A data centre is taken out during a maintenance wave
    Given a small deployment with a key for team "tally"
    When a roll-out of pool "count" is started in the deployment
    And an operator takes "south" out
    Then no task starts in "south" later than 3 seconds after that
    And the VMs of "south" are maintained within 20 seconds
    When an operator puts "south" back
    Then the roll-out is done within 60 seconds
    And at most 1 VM of the pool outside "south" was out at any time
