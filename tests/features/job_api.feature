Feature: A job is accepted once, and every response states what is known
  The store is the only record of jobs. A store call without an answer is
  never reported to the client as a refusal.

  Background:
    Given a job API whose configuration was just confirmed

  Scenario: A repeated submission creates one job
    When job 1 is submitted
    And job 1 is submitted
    Then the answers are "Accepted, Accepted"
    And the store has 1 job

  Scenario: A job that has ended is not created again
    When job 1 is submitted
    And job 1 ends as completed
    And job 1 is submitted
    Then the answers are "Accepted, Accepted"
    And the store has 0 job
    And the state of job 1 is "completed"

  Scenario Outline: A submission whose store calls are <faults>
    When the store's next answers are "<faults>"
    And job 1 is submitted
    And late calls to the store take effect
    Then the answers are "<answer>"
    And the store has <jobs> job

    Examples:
      | faults       | answer         | jobs |
      | lost         | Accepted       | 1    |
      | late         | Accepted       | 1    |
      | refused      | STORE_AWAY     | 0    |
      | late,refused | CHANGE_UNKNOWN | 1    |
      | lost,refused | CHANGE_UNKNOWN | 1    |

  # Guards against a refusal of a cancellation that was stored.
  Scenario Outline: A cancellation whose store calls are <faults>
    When job 1 is submitted
    And the store's next answers are "<faults>"
    And job 1 is cancelled
    And late calls to the store take effect
    Then the answers are "Accepted, <answer>"

    Examples:
      | faults       | answer         |
      | lost         | Accepted       |
      | refused      | STORE_AWAY     |
      | late,refused | CHANGE_UNKNOWN |
      | lost,refused | CHANGE_UNKNOWN |

  # Guards against a flood of calls while the store answers at once, but not
  # whether it stored the write.
  Scenario: The store answers at once that the outcome is unknown
    When the store answers within 0.002 seconds that the outcome is unknown
    And job 1 is submitted
    Then the answers are "CHANGE_UNKNOWN"
    And the store got between 10 and 60 calls

  # Guards against a flood of calls while the store resets each connection.
  Scenario: The store fails each reading at once
    When the store fails each reading within 0.002 seconds
    And the state of job 1 is read
    Then the answers are "STORE_AWAY"
    And the store got between 10 and 60 calls

  # Guards against a job that ran twice, as its submission was repeated after
  # operators had moved its queue to another pool.
  Scenario: A submission is repeated after its queue moved to another pool
    When job 1 is submitted
    And operators move the queue to pool "other"
    And job 1 is submitted
    Then the answers are "Accepted, Accepted"
    And the store has 1 job in all pools

  # Guards against a job that ran twice, as operators had removed its queue and
  # added it again with another pool, before its submission was repeated.
  Scenario Outline: A submission is repeated after its queue was <change>
    When job 1 is submitted
    And operators remove the route of the queue
    And operators add the queue as "<name>" with pool "other"
    And job 1 is submitted again to <process>
    Then the answers are "Accepted, Accepted"
    And the store has 1 job in all pools
    And the state of job 1 is "queued"

    Examples:
      | change                              | name   | process             |
      | removed and added                   | checks | the process         |
      | removed and added, at a new process | checks | a new process       |
      | added under another name            | audits | the process         |

  # Guards against a job that ran twice, as its queue moved away and back
  # between two versions that a process has seen.
  Scenario: A process has missed that its queue was in another pool
    Given another process with the same configuration
    When operators move the queue to pool "other"
    And job 1 is submitted
    And operators move the queue back, as seen by the other process alone
    And job 1 is submitted to the other process
    Then the answers are "Accepted, Accepted"
    And the store has 1 job in all pools

  # Guards against a job that ran twice, as its first submission took effect
  # after the queue had moved and the caller had repeated it.
  Scenario: A submission takes effect late, after its queue has moved
    When the store's next answers are "late,refused"
    And job 1 is submitted
    And operators move the queue to pool "other"
    And job 1 is submitted
    And late calls to the store take effect
    Then the answers are "CHANGE_UNKNOWN, Accepted"
    And the store has 1 job in all pools
    And the state of job 1 is "queued"
    When job 1 is cancelled
    Then the store has the cancellation of job 1 in pool "other"

  # Guards against a job that is accepted twice, or said to be accepted and
  # stored nowhere, by a process that does not know of a move yet.
  Scenario Outline: A process that does not know that its queue has moved
    Given another process with the same configuration
    When operators move the queue to pool "other"
    And the store's next answers are "<answers>"
    And job 1 is submitted
    And job 1 is submitted to the other process
    Then the answers are "<outcomes>"
    And the store has <jobs> job in all pools

    Examples:
      | answers    | outcomes                   | jobs |
      | ok,ok      | Accepted, CHANGE_UNKNOWN   | 1    |
      | ok,refused | STORE_AWAY, CHANGE_UNKNOWN | 0    |

  # Guards against a job that can't be submitted any more once its queue is back
  # in the pool that it was kept out of.
  Scenario: A queue moves back to a pool that a job was kept out of
    When operators move the queue to pool "other"
    And the store's next answers are "ok,refused"
    And job 1 is submitted
    And operators move the queue back
    And job 1 is submitted
    Then the answers are "STORE_AWAY, Accepted"
    And the store has 1 job in all pools
    And the state of job 1 is "queued"

  # Guards against submissions that are refused for ever, as two queues take
  # turns in the record of their address.
  Scenario: Two queues have the same address
    When operators add a second queue with the same address and pool "other"
    And job 1 is submitted to the first queue
    And operators add a second queue with the same address and pool "other"
    And job 1 is submitted to the first queue
    Then the answers are "Accepted, Accepted"
    And the store has 1 job in all pools

  # Guards against a process that waits for ever for a record that it has, as
  # one of an earlier configuration ended later.
  Scenario: The record of an earlier configuration ends last
    When operators move the queue to pool "other" while it is being recorded
    And job 1 is submitted
    Then the answers are "Accepted"

  # Guards against jobs that are accepted where no other process looks for
  # them: the queue's pool is recorded before.
  Scenario: The pool of a queue can't be recorded
    When the store's next answers are "refused"
    And operators move the queue to pool "other"
    And job 1 is submitted
    Then the answers are "STALE"
    And the store has 0 job in all pools

  # Guards against a job that seems lost, as its pool is a standby pool now.
  Scenario: A job is looked up whose pool operators made a standby pool
    When job 1 is submitted
    And operators move the queue to pool "other" and put its pool on standby
    And another process looks job 1 up
    Then the answers are "Accepted, JobState"

  # Guards against jobs that seem lost as the store is above its rate while
  # all of them are asked for.
  Scenario Outline: The store rejects the next <count> readings
    When job 1 is submitted
    And the store rejects the next <count> readings
    And the state of job 1 is read
    Then the answers are "Accepted, <answer>"
    And the store got <calls> calls at most

    Examples:
      | count | calls | answer     |
      | 1     | 3     | JobState   |
      | 2     | 4     | JobState   |
      | 40    | 4     | STORE_AWAY |

  Scenario Outline: The key is <key>, the configuration <age> seconds old
    When the key is "<key>"
    And the configuration was confirmed <age> seconds ago
    And job 1 is submitted
    Then the answers are "<answer>"

    Examples:
      | key   | age | answer      |
      | key-1 | 0.0 | Accepted    |
      | key-1 | 2.4 | Accepted    |
      | key-1 | 2.6 | STALE       |
      | other | 0.0 | KEY_REFUSED |
      | none  | 0.0 | KEY_REFUSED |

  Scenario: The key of a submission is withdrawn before it is answered
    When the key is withdrawn while the store answers
    And job 1 is submitted
    Then the answers are "OUTCOME_UNKNOWN"

  Scenario: A public queue needs no key
    Given the queue is public
    When the key is "none"
    And job 1 is submitted
    Then the answers are "Accepted"

  Scenario: A job that was never submitted
    When job 1 is cancelled
    And the state of job 1 is read
    Then the answers are "NOT_FOUND, NOT_FOUND"

  # Guards against a job that runs after its cancellation was answered, as its
  # submission, whose outcome was unknown, was stored later.
  Scenario Outline: A submission takes effect late, after its cancellation
    When the store's next answers are "late,refused"
    And job 1 is submitted
    And <event>
    And job 1 is cancelled
    And job 1 is cancelled
    And late calls to the store take effect
    Then the answers are "CHANGE_UNKNOWN, NOT_FOUND, NOT_FOUND"
    And the store has 0 job in all pools
    And the state of job 1 is not found

    Examples:
      | event                                            |
      | nothing happens                                  |
      | operators move the queue to pool "other"         |

  # Guards against a job that runs, or seems lost, as its submission came after
  # its cancellation was answered.
  Scenario Outline: A job is cancelled, <event>, and it is submitted
    When job 1 is cancelled
    And <event>
    And job 1 is submitted
    Then the answers are "NOT_FOUND, Accepted"
    And the store has 0 job in all pools
    And the state of job 1 is "cancelled"

    Examples:
      | event                                            |
      | nothing happens                                  |
      | operators move the queue to pool "other"         |

  # Guards against a job that runs though its cancellation was answered, as it
  # had been kept out of the pool that its queue has again.
  Scenario: A job is cancelled that was kept out of its pool
    When operators move the queue to pool "other"
    And the store's next answers are "ok,refused"
    And job 1 is submitted
    And operators move the queue back
    And job 1 is cancelled
    And job 1 is submitted
    Then the answers are "STORE_AWAY, NOT_FOUND, Accepted"
    And the store has 0 job in all pools
    And the state of job 1 is "cancelled"

  # Guards against a cancellation that is acknowledged though the late
  # submission may still be stored.
  Scenario Outline: No pool has a cancelled job, and the store's answers are <faults>
    When the store's next answers are "<faults>"
    And job 1 is cancelled
    Then the answers are "<answer>"

    Examples:
      | faults       | answer         |
      | refused      | STORE_AWAY     |
      | late,refused | CHANGE_UNKNOWN |
      | lost         | NOT_FOUND      |

  # Guards against a job that is said not to exist, as it was stored while its
  # cancellation looked for it.
  Scenario Outline: A job <happens> while its cancellation looks for it
    When job 1 <happens> while it is looked for and cancelled
    Then the answers are "Accepted, Accepted"
    And the state of job 1 is "<state>"

    Examples:
      | happens             | state     |
      | is stored           | queued    |
      | is stored and ends  | completed |

  Scenario: A job is cancelled
    When job 1 is submitted
    And job 1 is cancelled
    Then the answers are "Accepted, Accepted"
    And the store has the cancellation of job 1

  Scenario: The number of pending jobs of a pool without a holder
    When job 1 is submitted
    And job 2 is submitted
    And job 1 has started
    Then 1 job is pending

  # Guards against jobs that wait and are not counted, as their queue has moved
  # to another pool or has another name since.
  Scenario Outline: Jobs wait while operators <change>
    When job 1 is submitted
    And job 2 is submitted
    And job 3 is submitted
    And job 1 has started
    And the pending jobs of pool "count" are <published>
    And operators <change>
    And job 4 is submitted
    Then 3 job is pending

    Examples:
      | change                                                  | published     |
      | move the queue to pool "other"                          | not published |
      | move the queue to pool "other"                          | published     |
      | move the queue to pool "other" and put its pool on standby | published  |
      | add the queue as "audits" with pool "count"             | not published |
      | add the queue as "audits" with pool "other"             | not published |

  # Guards against jobs that are not counted in a pool which the queue had before
  # this release, whose row has no name.
  Scenario: The pending jobs of a queue that an earlier release recorded
    When an earlier release has recorded that the queue had pool "other"
    And job 1 waits there
    Then 1 job is pending

  # Guards against a count that leaves pools out, by a process that has not read
  # yet which pools the queues had.
  Scenario: A new process counts pending jobs before it has read the pools
    When a new process that can't read the store yet counts the pending jobs
    Then the answers are "STALE"

  # Guards against a job that seems lost, to a process that does not know yet of
  # the pool where it lies.
  Scenario: A new process looks a job up before it has read the pools
    When job 1 is submitted
    And a new process that can't read the store yet looks up job 1
    And a new process that can't read the store yet looks up job 2
    Then the answers are "Accepted, JobState, STALE"

  Scenario: The longest matching path prefix selects the queue
    Given queues at "/a/", "/a/b/" and "/c/" of "north.example"
    Then the queues of these paths are
      | host          | path       | queue |
      | north.example | /a/1       | /a/   |
      | north.example | /a/b/1     | /a/b/ |
      | north.example | /c/b/1     | /c/   |
      | north.example | /d/1       | none  |
      | south.example | /a/1       | none  |

  Scenario: A lookup that finds no job says where it looked
    Given the log is recorded
    When the configuration was confirmed 0.4 seconds ago
    And the state of job 1 is read
    Then a line "job not found" says
      | field       | value                    |
      | job         | 0000000000000001         |
      | queue       | checks                   |
      | outcome     | NOT_FOUND: no such job   |
      | pools       | count spare              |
      | store_calls | 4                        |
      | version     | 1                        |
      | age         | 0.4                      |
    And the job API counted
      | series                       | value |
      | lookups{outcome="NOT_FOUND"} | 1     |

  Scenario: A lookup that finds a job is counted and has no line
    Given the log is recorded
    When job 1 is submitted
    And the state of job 1 is read
    Then no line "job not found" is written
    And no line "job lookup refused" is written
    And no line "call not answered in time" is written
    And the job API counted
      | series                   | value |
      | lookups{outcome="FOUND"} | 1     |

  Scenario: A lookup that is refused says by which configuration
    Given the log is recorded
    When the configuration was confirmed 2.6 seconds ago
    And the state of job 1 is read
    Then a line "job lookup refused" says
      | field       | value                                             |
      | job         | 0000000000000001                                  |
      | outcome     | STALE: the configuration was not confirmed lately |
      | pools       |                                                   |
      | store_calls | 0                                                 |
      | age         | 2.6                                               |
    And the job API counted
      | series                   | value |
      | lookups{outcome="STALE"} | 1     |

  Scenario: A submission that finds its job says so
    Given the log is recorded
    When job 1 is submitted
    Then a line "job submission handled" says
      | field       | value    |
      | outcome     | Accepted |
      | version     | 2        |
      | found       | None     |
      | store_calls | 1        |
    When job 1 is submitted
    Then a line "job submission handled" says
      | field       | value        |
      | outcome     | Accepted     |
      | version     | None         |
      | found       | jobs.count:2 |

  Scenario: A submission that is refused for its key has a line
    Given the log is recorded
    When the key is "other"
    And job 1 is submitted
    Then a line "job submission handled" says
      | field   | value                              |
      | job     | 0000000000000001                   |
      | outcome | KEY_REFUSED: the key is not known  |

  Scenario: A call for which the store has no answer in time
    Given the log is recorded
    When the store fails each reading within 0.5 seconds
    And the state of job 1 is read
    Then a line "call not answered in time" says
      | field       | value                        |
      | call        | state                        |
      | job         | 0000000000000001             |
      | deadline    | 3.0                          |
      | spent       | 2.5                          |
      | late        | False                        |
      | store_calls | 5                            |
      | outcome     | STORE_AWAY: connection reset |
    And the job API counted
      | series                         | value |
      | unanswered_calls{call="state"} | 1     |
      | lookups{outcome="STORE_AWAY"}  | 1     |

  Scenario: A count of pending jobs that comes after its deadline
    Given the log is recorded
    When the store answers each reading after 3.5 seconds
    Then 0 job is pending
    And a line "call not answered in time" says
      | field       | value      |
      | call        | pending    |
      | deadline    | 3.0        |
      | spent       | 3.5        |
      | late        | True       |
      | store_calls | 3          |
      | outcome     | QueueState |
    And the job API counted
      | series                           | value |
      | pending_calls{outcome="COUNTED"} | 1     |
      | unanswered_calls{call="pending"} | 1     |

  Scenario: Cancellations are counted by outcome
    When job 1 is submitted
    And job 1 is cancelled
    And job 2 is cancelled
    Then the job API counted
      | series                       | value |
      | cancels{outcome="ACCEPTED"}  | 1     |
      | cancels{outcome="NOT_FOUND"} | 1     |
