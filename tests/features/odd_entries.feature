Feature: An odd entry or message costs no more than itself
  Other writers leave entries of any kind among those of the workers, and
  messages arrive damaged. What can't be read is left out, logged once and
  counted.

  # Guards against processes that followed no worker any more and read whole
  # tables ten times a second, as one entry was nested too deeply.
  Scenario Outline: An entry of a worker whose <field> is <odd value>
    Given a table of workers "a", "b" and "c"
    And an entry whose "<field>" is "<odd value>"
    When the table is watched while worker "a" begins to drain and "b" is removed
    Then workers "a" and "c" are known, and "a" is draining
    And the odd entry was logged 1 times and 1 rows are counted as unreadable
    And the store was called as often as without the odd entry

    Examples: deeply nested
      | field   | odd value      |
      | unknown | nested lists   |
      | unknown | nested objects |
      | service | nested lists   |
      | labels  | nested objects |

    Examples: numbers
      | field    | odd value       |
      | born     | beyond 64 bits  |
      | born     | 5000 digits     |
      | born     | negative        |
      | born     | fraction        |
      | capacity | 1e308           |
      | unknown  | not a number    |
      | sequence | negative        |
      | slots    | word            |

    Examples: addresses
      | field   | odd value       |
      | address | port 0          |
      | address | port 99999      |
      | address | negative port   |
      | address | no port         |
      | address | host name       |
      | address | octet 999       |
      | address | NUL in the host |
      | address | lone surrogate  |
      | address | long            |
      | address | empty           |

    Examples: types
      | field   | odd value |
      | service | zero      |
      | state   | word      |
      | zone    | null      |
      | labels  | object    |

  Scenario Outline: An entry of a worker with <amount> millicores
    Given a table of workers "a", "b" and "c"
    And an entry with <amount> millicores
    When the table is watched while worker "a" begins to drain and "b" is removed
    Then workers "a" and "c" are known, and "a" is draining
    And the odd entry was logged 1 times and 1 rows are counted as unreadable

    Examples:
      | amount |
      | -1     |
      | 1e308  |
      | 1e309  |
      | "many" |

  # The worker may run on while its entry is overwritten: its runs are neither
  # started elsewhere nor given up, and it gets no new ones.
  Scenario: The entry of a worker turns bad while it runs tasks
    Given a pool that follows a table of one worker, which runs 2 tasks
    When the entry of the worker becomes "nested lists"
    And 30 seconds pass in which the worker answers
    Then it has 2 runs, no task waits and nothing is started
    And it gets no new tasks
    When the entry of the worker can be read again
    Then it gets new tasks

  # Guards against a worker that counted as ended, so that its runs were started
  # elsewhere, as its entry named the address of another one.
  Scenario Outline: The entry of a worker names another address, <when>
    Given a pool that follows a table of one worker, which runs 2 tasks
    When its entry names another address, in incarnation <incarnation>
    Then it is asked at the <asked> address

    Examples: an address stays for the life of a worker
      | when                      | incarnation | asked |
      | in the same life          | 1           | same  |
      | in a later life           | 2           | new   |
      | without saying which life | 0           | same  |

  # Guards against seven polls a second for as long as the entry stands.
  Scenario: An entry names the address of another worker
    Given a worker loop whose worker has listed 0 ends
    When another worker answers each of its polls for 30 seconds
    Then it was polled 15 times at most
    And it is polled at once when its entry changes

  Scenario: A row of the operators turns bad
    Given the rows of the operators have a configuration of version 3 and wave 4
    When both rows become "nested lists" and data centre "north" is taken out
    Then version 3 and wave 4 are in force and "north" is out
    And the odd entry was logged 2 times and 2 rows are counted as unreadable

  Scenario: A watch that fails again and again backs off
    Then a watch pauses after faults in a row for
      | faults | seconds |
      | 0      | 0.1     |
      | 1      | 0.2     |
      | 3      | 0.8     |
      | 6      | 5       |
      | 1000   | 5       |
    Given a watch whose next 5 changes can't be applied
    When the watch polls 9 times
    Then the fault was logged once and the watch counts 5 faults
    When the watch polls 1 times
    Then the watch counts 0 faults

  Scenario Outline: The list of machines has an odd row
    When the list of machines has "m1", a row whose "<field>" is "<odd value>" and "m2"
    Then machines "m1" and "m2" are known

    Examples:
      | field   | odd value   |
      | id      | list        |
      | state   | 5000 digits |
      | machine | null        |
      | pool    | object      |

  # A row can't be told from the others at that depth, and the platform alone
  # writes the list.
  Scenario: The list of machines is nested too deeply
    When the list of machines is nested too deeply
    Then the list can't be read

  Scenario: A list of machines whose pages do not end
    When each page of the list of machines names a next page
    Then the list can't be read

  Scenario Outline: A worker's listing whose <field> is <odd value>
    When the listing of a worker has "<odd value>" for "<field>"
    Then the worker has given no answer

    Examples:
      | field    | odd value       |
      | unknown  | nested lists    |
      | running  | nested objects  |
      | clock_ms | 1e308           |
      | clock_ms | beyond a double |
      | born     | beyond 64 bits  |

  # Guards against a pool that each holder gave up, as the loop of a worker
  # ended by the name of a task.
  Scenario Outline: A worker lists a run of a task named <name>
    Given a pool with 1 workers
    And a job of 2 tasks of 1 core
    When worker "w1" lists a run of the task "<name>"
    Then the run has to be stopped

    Examples:
      | name                                |
      | 00000000000000aa                    |
      | 00000000000000aa.0                  |
      | 00000000000000aa.².0.0              |
      | 00000000000000aa.0.0.²              |
      | 00000000000000aa.99999999999999.0.0 |
      | 00000000000000aa.-1.0.0             |
      | 00000000000000aa.0.0.-1             |
      | 00000000000000aa...                 |

  Scenario Outline: A caller submits a job whose <field> is <odd value>
    When a caller submits a job with "<odd value>" for "<field>"
    Then it is refused as malformed

    Examples:
      | field    | odd value      |
      | unknown  | nested lists   |
      | steps    | nested objects |
      | times    | beyond 64 bits |
      | times    | 5000 digits    |
      | start_at_ms | 1e308       |
      | spec     | lone surrogate |

  Scenario: A caller's deadline that is no time
    Then callers that ask for these deadlines are given these times
      | header | seconds |
      | 1500   | 1.5     |
      | -5     | 0       |
      | nan    | 3       |
      | soon   | 3       |
      | inf    | 60      |
      | 1e999  | 60      |

  Scenario: The lease of one pool can't be read
    Given a process and 2 pools, of which one has a lease that can't be read
    When it scans for free pools
    Then it holds the other pool

  Scenario: Rows of our own tables that can't be read
    Then a team whose limit can't be read gets no grant, and other teams do
    And a machine whose row can't be read is not ordered
    And a pool whose stored workers can't be read asks the registered ones

  Scenario: Random messages to each decoder
    Then 1500 odd messages to each decoder with seed 5 are decoded or refused
