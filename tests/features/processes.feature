@processes
Feature: Promises hold when processes are killed, paused, cut off or replaced
  The entry processes run separately; load is bounded and seeds are fixed.

  Scenario: An entry process is killed under load
    Given a small deployment with a key for team "tally"
    When requests that may not be repeated flow to every entry VM
    And entry VM "entry-north-0" is killed
    And requests flow for 2 seconds more
    Then every answer is whole and its request ran at most once
    And every refusal that says not run is true at the backend servers
    And the entry VMs that live answered after the kill

  Scenario: A graceful shutdown cuts no request
    Given a small deployment with a key for team "tally"
    When slow requests flow to entry VM "entry-north-0"
    And entry VM "entry-north-0" is asked to leave
    Then it leaves with status 0 within 10 seconds
    And every request that it took was answered whole
    And later requests were refused as not run or not taken at all

  Scenario: A paused entry process takes no work with a key withdrawn meanwhile
    Given a small deployment with a key for team "tally"
    When entry VM "entry-south-0" is paused
    And an operator withdraws the key
    Then the change is pending and names "entry-south-0" alone
    When entry VM "entry-south-0" is resumed after 4 seconds in all
    Then not one request with the key is taken at "entry-south-0"

  Scenario: The table service is down for a while
    Given a small deployment with a key for team "tally"
    And 4 tasks of 1 second are recorded
    When the table service goes down
    Then requests for services are answered at every entry VM
    And a submission is refused or its outcome is said to be unknown
    And within 5 seconds submissions are refused as not run
    When the table service comes back
    Then submissions are recorded again within 10 seconds
    And every recorded task is done within 20 seconds

  Scenario: The entry VMs are replaced one by one and then all at once
    Given a small deployment with a key for team "tally"
    And 6 tasks of 2 seconds are recorded
    When each entry VM is replaced, one after another
    Then work of team "tally" is taken at every entry VM
    When all entry VMs are killed and started again
    Then work of team "tally" is taken at every entry VM
    And every recorded task is done within 60 seconds
    And no recorded task was started twice

  Scenario: Only another data centre can serve
    Given a small deployment with a key for team "tally"
    When every backend server of "north" is killed
    Then requests at "entry-north-0" are answered through another data centre
    And every answer is whole and its request ran at most once

  Scenario: A data centre is taken out in the middle of a wave
    Given a small deployment with a key for team "tally"
    When a roll-out of pool "count" is begun in the deployment
    And an operator takes "south" out
    Then no task starts in "south" from 3 seconds after
    And the VMs of "south" are maintained within 20 seconds
    When an operator puts "south" back
    Then the roll-out is done within 60 seconds
    And at most 1 VM of the pool outside "south" was ever out at once
