Feature: An answer tells what was so when it was asked for
  What is learnt of a worker while an answer about it is on its way is newer.

  # Guards against tasks that are done twice (TWICE, review/11): a worker
  # crashes and is soon back, and the list of machines, asked for in between,
  # ends what its next life has been given since.
  Scenario Outline: The list says a worker has ended; meanwhile <event>
    Given a pool with 2 workers
    And a job of 1 tasks of 1 core
    When the pool is planned
    And the list of machines says that its worker has ended; meanwhile <event>
    And the pool is planned
    And all progress is stored
    And the pool is planned
    Then <starts> starts are ordered

    Examples: kept while it may run, else started elsewhere
      | event                                 | starts |
      | the worker accepts the start          | 1      |
      | the worker answers a stop             | 1      |
      | the worker answers a throttle         | 1      |
      | the worker answers a probe            | 1      |
      | the start stays in flight             | 1      |
      | another worker answers the start      | 2      |
      | the start gets no answer at all       | 2      |
      | the start's connection is refused     | 2      |
      | nothing, as the start was not sent    | 2      |

  # Guards against a second run of a task whose start was in flight when its
  # worker was found ended, and that the worker's next life accepted.
  Scenario Outline: A start in flight when its worker was found ended <outcome>
    Given a pool with 2 workers
    And a job of 1 tasks of 1 core
    When the pool is planned
    And the start is sent; its worker is found ended, and the start <outcome>
    And the pool is planned
    And all progress is stored
    And the pool is planned
    Then <starts> starts are ordered

    Examples:
      | outcome         | starts |
      | is accepted     | 1      |
      | was not sent    | 2      |

  # Guards against a second run of what a worker was given since its poll was
  # sent, which another worker at its address answered.
  Scenario Outline: Another worker answers a poll; meanwhile <event>
    Given a pool with 2 workers
    And a job of 1 tasks of 1 core
    When the pool is planned
    And another worker answers its worker's poll; meanwhile <event>
    And the pool is planned
    And all progress is stored
    And the pool is planned
    Then <starts> starts are ordered

    Examples: kept while it may run, else started elsewhere
      | event                              | starts |
      | the worker accepts the start       | 1      |
      | the worker registers anew          | 1      |
      | nothing, as the start was not sent | 2      |

  # Guards against starts that go to a worker of which the holder is asking
  # whether it has ended.
  Scenario: No task is placed on a worker while its end is asked for
    Given a pool with 1 workers
    And a job of 1 tasks of 1 core
    When a poll gets no answer, and the pool is planned while the list is asked for
    Then 0 starts are ordered
    When the pool is planned
    Then 1 starts are ordered

  # Guards against workers that are up and not used any more (LOST, review/12):
  # a worker was back under its name before an answer about its life before
  # arrived, and the new life was taken for the one that had ended.
  Scenario Outline: A worker is back under its name before <answer> arrives
    Given a pool with 1 workers whose registration is known
    And a job of 1 tasks of 1 core
    When it registers as a new incarnation before <answer> arrives
    And its new incarnation answers a poll
    And the pool is planned
    Then 1 starts are ordered

    Examples:
      | answer                                           |
      | the list of machines                             |
      | the answer to the move of its machine to standby |

  # Guards against a second run of a task (TWICE): the next holder asks a worker
  # that has moved at its old address, where another one answers.
  Scenario Outline: A worker moves <when> the list of used workers is stored
    Given a pool with 1 workers whose registration is known
    And a job of 1 tasks of 1 core
    When it registers at another address <when> the list of used workers is stored
    And its new incarnation has accepted the epoch
    And the pool is planned
    Then 0 starts are ordered
    When the list of used workers is stored once more
    And the pool is planned
    Then 1 starts are ordered
    And the stored list has its new address

    Examples:
      | when  |
      | while |
      | after |

  # Guards against more machines down for a wave than it allows (LIMIT): a
  # machine was taken for back by a list from before its upkeep, as the list
  # was read again while another machine was ordered.
  Scenario: The list is read again while a machine of the wave is ordered
    Given a wave of 6 machines with at most 2 down at once
    And a pool on standby with all of them
    And every second answer of the machine API is lost
    When the maintenance of both pools has run 3 times
    And the list is read again while the first machine is ordered once more
    And the maintenance of both pools has run 400 times
    Then at most 2 machines were down at once
    And each machine was maintained once

  # Guards against a worker that is back and not used any more, by the list
  # that shows the upkeep of its machine.
  Scenario Outline: A worker registers anew <when> the list is asked for
    Given a wave of 1 machines with at most 1 down at once
    And two pools with 1 and 0 of them, without running tasks
    When the maintenance of both pools has run 3 times
    And its worker registers anew <when> the list that shows the maintenance
    And the maintenance of both pools has run 1 times
    Then <ended> workers count as ended

    Examples:
      | when   | ended |
      | after  | 0     |
      | before | 1     |
