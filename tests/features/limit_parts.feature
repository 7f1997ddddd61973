Feature: A team may use its whole limit, however it is divided among pools
  Each pool holds a part of a team's limit and charges its runs to it. No part
  is kept by a pool that can't use it, and no charge by a run that has ended.

  # Guards against a team that used more than its limit, as runs that began
  # before it had one did not count.
  Scenario: A team gets a limit while its tasks run
    Given a pool with 2 workers
    And a job of 10 tasks of 1 core
    When the pool is planned
    And its team gets a limit of 10 cores, all granted to the pool
    And a job of 10 tasks of 1 core is accepted
    And the pool is planned
    Then 10 starts are ordered

  # Guards against a pool that ordered no machine for a team, as a request for
  # more of its limit had failed once.
  Scenario Outline: A request failed <seconds> s ago, as the limit was granted
    Given pools "a" and "b" with grants of 10 and 0 cores of a limit of 10
    When pool "b" asks for 6 cores
    And pool "a" returns its grant <seconds> seconds later
    Then pool "b" counts on <cores> cores

    Examples:
      | seconds | cores |
      | 2.0     | 0     |
      | 3.5     | 10    |

  # Guards against a team whose jobs got ever less of its limit, as the charge
  # of each run that outlived its job was kept.
  Scenario Outline: A run that ends after the end of its job was stored: <how>
    Given a pool with 2 workers
    And its team has a limit of 10 cores
    And a job of 2 tasks of 1 core
    When the pool is planned
    And the job ends as <how> and its end is stored
    And the runs end 0.5 seconds later
    Then the team is charged for 0 cores

    Examples:
      | how       |
      | failed    |
      | cancelled |

  # Guards against the tasks of a team that never started, as each pool held a
  # part of the team's limit and waited for more of it.
  Scenario Outline: Two pools hold <parts> of a limit, which is now <limit>
    Given pools "a" and "b" with grants of <parts> cores of a limit of <before>
    And operators set the limit to <limit> cores
    When each pool has one task of 6 cores, for 3.0 seconds
    Then a task has started
    And the team never used more than <limit> cores

    Examples: as it was, and lowered by operators
      | parts     | before | limit |
      | 5 and 5   | 10     | 10    |
      | 12 and 12 | 30     | 10    |
      | 6 and 6   | 12     | 7     |

  # Guards against the tasks of a team that never started, as the row held a part
  # for a pool that did not know of it, after a write that failed or got no
  # answer.
  Scenario Outline: Two pools hold <parts> of a limit, the next writes: <writes>
    Given pools "a" and "b" with grants of <parts> cores of a limit of 10
    And the next writes of grants end as "<writes>"
    When each pool has one task of 6 cores, for 3.0 seconds
    Then a task has started
    And the team never used more than 10 cores

    Examples: no answer although stored, and not stored
      | parts   | writes           |
      | 0 and 0 | lost             |
      | 5 and 5 | lost             |
      | 5 and 5 | refused          |
      | 5 and 5 | refused, refused |
      | 5 and 5 | ok, lost         |
