Feature: A task that crashes its workers is found and given up
  A crash of a worker ends all its runs, and only one of them may have caused
  it. The manager counts crashes under each task, starts the suspected ones
  apart, and gives up the job of one under which a worker crashed again.

  # Guards against a task that crashes worker after worker without an end.
  Scenario Outline: A task that crashes each worker is given up
    Given a simulated pool of 6 workers
    And a simulated job "culprit" of 3 tasks of 1 core that last 0.5 seconds
    And 4 simulated jobs of 4 tasks of 1 core that last 0.5 seconds
    And task 1 of job "culprit" crashes its worker at once
    And the answer to a start that crashes its worker is <answer>
    When 30 simulated seconds pass
    Then task 1 of job "culprit" was started 3 times at most
    And job "culprit" is stored as failed
    And every other job is stored as completed

    Examples: answers
      | answer  |
      | given   |
      | lost    |

  # Guards against jobs that are given up as they ran beside the cause.
  Scenario: Jobs beside several tasks that crash their workers complete
    Given a simulated pool of 6 workers
    And 3 simulated culprits of 4 tasks of 1 core that last 0.5 seconds
    And 8 simulated jobs of 4 tasks of 1 core that last 0.5 seconds
    When 40 simulated seconds pass
    Then each culprit was started 5 times at most and stored as failed
    And every other job is stored as completed
    And no suspect had company
    And at most half of the workers were kept for suspects

  # Guards against workers that crash one after the other as suspects, put
  # together once more, tell nothing.
  Scenario: A suspect waits for a worker to become empty
    Given a simulated pool of 2 workers
    And a simulated job "culprit" of 1 tasks of 1 core that last 0.5 seconds
    And 12 simulated jobs of 6 tasks of 2 core that last 0.7 seconds
    And task 1 of job "culprit" crashes its worker at once
    When 60 simulated seconds pass
    Then task 1 of job "culprit" was started 3 times at most
    And job "culprit" is stored as failed
    And every other job is stored as completed
    And no suspect had company

  # Guards against a pool that shrinks while many suspects wait in turn.
  Scenario: Each waiting suspect counts as work for a whole worker
    Given a simulated pool of 2 workers
    And a simulated job "culprit" of 20 tasks of 0.1 core that last 9 seconds
    When all workers of rack "rack-0" crash 1 times, 0.1 s apart
    And 0.05 simulated seconds pass
    Then at least 10 suspects wait
    And the waiting work is at least 0.5 worker-seconds for each of them

  # Guards against an endless search as no worker is without long-running
  # tasks.
  Scenario: A suspect starts where only long-running tasks are beside it
    Given a simulated pool of 3 workers
    And a simulated job "lasting" of 9 long-running tasks, 3 per worker
    And a simulated job "culprit" of 2 tasks of 1 core that last 0.5 seconds
    And task 1 of job "culprit" crashes its worker at once
    When 30 simulated seconds pass
    Then task 1 of job "culprit" was started 4 times at most
    And job "culprit" is stored as failed
    And every task of job "lasting" runs

  # Guards against a long-running task that crashes worker after worker.
  Scenario Outline: A long-running task crashes its worker after <seconds> s
    Given a simulated pool of 4 workers
    And a simulated job "culprit" of 2 long-running tasks, 1 per worker
    And 4 simulated jobs of 4 tasks of 1 core that last 0.5 seconds
    And task 1 of job "culprit" crashes its worker after <seconds> seconds
    When 60 simulated seconds pass
    Then task 1 of job "culprit" was started 5 times at most
    And job "culprit" is stored as failed
    And every other job is stored as completed

    Examples: seconds
      | seconds |
      | 0.0     |
      | 0.2     |
      | 2.0     |

  # Guards against a gang that crashes worker after worker.
  Scenario: A gang with a task that crashes its worker is given up
    Given a simulated pool of 4 workers
    And a simulated gang "culprit" of 3 tasks of 6 cores
    And 4 simulated jobs of 4 tasks of 1 core that last 0.5 seconds
    And task 2 of job "culprit" crashes its worker at once
    When 60 simulated seconds pass
    Then task 2 of job "culprit" was started 4 times at most
    And job "culprit" is stored as failed
    And every other job is stored as completed

  # Guards against jobs that fail as their workers crashed for another reason.
  Scenario Outline: All workers of a rack crash <times> times
    Given a simulated pool of 6 workers
    And 10 simulated jobs of 6 tasks of 1 core that last 1.5 seconds
    When all workers of rack "rack-1" crash <times> times, <seconds> s apart
    And 60 simulated seconds pass
    Then every other job is stored as completed

    Examples: times
      | times | seconds |
      | 1     | 1.0     |
      | 3     | 4.0     |

  # Guards against a job that is given up, as starts that its crashed worker
  # never had counted as crashes under it.
  Scenario Outline: The starts of a task meet workers that crash: <fates>
    Given a simulated pool of 6 workers
    And a simulated job "culprit" of 1 tasks of 1 core that last 0.5 seconds
    And the next starts of its task are <fates>
    When 30 simulated seconds pass
    Then job "culprit" is stored as completed

    Examples: fates
      | fates           |
      | lost,lost       |
      | lost,crash      |
      | crash,lost      |
      | lost,crash,lost |

  # Guards against a suspect that is sent to a worker which has crashed before,
  # as nothing was heard of it for some seconds.
  Scenario Outline: A suspect is started when its worker <answers> a probe
    Given a simulated pool of 1 workers
    And a simulated job "culprit" of 1 tasks of 1 core that last 9 seconds
    When its task is a suspect, and its worker <answers> a probe
    Then <starts> starts reach the worker
    And 0 crashes of job "culprit" are counted

    Examples: answers
      | answers         | starts |
      | answers         | 1      |
      | does not answer | 0      |

  # Guards against a long-running job that is given up, and its tasks stopped,
  # as workers crash under it now and then for other causes.
  Scenario Outline: Workers crash under a long-running task after <seconds> s
    Given a simulated pool of 4 workers
    And a simulated job "lasting" of 4 long-running tasks, 1 per worker
    When the workers of a task of job "lasting" crash after <seconds> s
    Then every task of job "lasting" runs
    And 0 crashes of job "lasting" are counted

    Examples: seconds
      | seconds             |
      | 10, 10, 10, 1, 1    |
      | 4, 4, 4, 4, 4, 4, 4 |
      | 10, 1, 1, 1         |

  # Guards against a long-running job that is given up, and its tasks stopped
  # while they are at work, as workers crash one after another under one.
  Scenario Outline: Workers crash under an available task after <seconds> s
    Given a simulated pool of 4 workers
    And a simulated job "lasting" of 4 long-running tasks, 1 per worker
    And long-running tasks are available <start> s after their start
    When the workers of a task of job "lasting" crash after <seconds> s
    Then every task of job "lasting" runs
    And 0 crashes of job "lasting" are counted

    Examples: seconds
      | start | seconds                      |
      | 0.4   | 1, 1, 1, 1, 1, 1             |
      | 0.8   | 1, 0.6, 0.6, 0.6, 1, 1, 1, 1 |

  # Guards against a long-running job whose tasks at work are all stopped
  # (AVAIL), as workers crash for other causes when one of them starts.
  Scenario Outline: Workers crash at <count> starts of a task, <others>
    Given a simulated pool of 40 workers
    And a simulated job "lasting" of 4 long-running tasks, 1 per worker
    And long-running tasks are available 0.4 s after their start
    When the worker of a task of job "lasting" crashes, and those of its next <count> starts, as <others>
    Then every task of job "lasting" runs

    Examples: others of its job are at work
      | count | others                  |
      | 1     | 0 others crash a second |
      | 2     | 0 others crash a second |
      | 3     | 0 others crash a second |
      | 6     | 5 others crash a second |

  # Guards against the same where no other worker crashes.
  Scenario Outline: Workers crash at the first starts of a task: <fates>
    Given a simulated pool of 8 workers
    And a simulated job "culprit" of 4 long-running tasks, 1 per worker
    And long-running tasks are available 0 s after their start
    And the next starts of its task are <fates>
    When 30 simulated seconds pass
    Then every task of job "culprit" runs

    Examples: others of its job are at work
      | fates             |
      | crash,crash       |
      | crash,crash,crash |

  # Guards against the opposite: a long-running task that crashes its workers
  # again and again, as others of its job are at work.
  Scenario Outline: A task crashes its worker after <seconds> s beside others at work
    Given a simulated pool of 8 workers
    And a simulated job "culprit" of 4 long-running tasks, 1 per worker
    And long-running tasks are available 0.4 s after their start
    And task 1 of job "culprit" crashes its worker after <seconds> seconds
    When 60 simulated seconds pass
    Then task 1 of job "culprit" was started 5 times at most
    And job "culprit" is stored as failed

    Examples:
      | seconds |
      | 0.0     |
      | 0.2     |

  # Guards against a job that is given up for starts that its workers never had:
  # they answered a probe, and crashed before the start, as others did.
  Scenario Outline: The starts of a suspect are lost after a probe; <others>
    Given a simulated pool of 8 workers
    And a simulated job "culprit" of 1 tasks of 1 core that last 0.5 seconds
    And the next starts of its task are lost,probed,probed
    When 10 simulated seconds pass in which <others>
    Then job "culprit" is stored as <state>

    Examples: without other crashes, its task is the likely cause
      | others                  | state     |
      | 2 others crash a second | completed |
      | 0 others crash a second | failed    |

  # Guards against crashes that are counted where a worker ended by order, or
  # was only silent.
  Scenario Outline: A worker that <event> has not crashed
    Given a simulated pool of 1 workers
    And a simulated job "culprit" of 2 tasks of 1 core that last 9 seconds
    When 0.2 simulated seconds pass
    And the simulated worker <event>
    Then 0 crashes of job "culprit" are counted
    And the pool has 0 suspects

    Examples: events
      | event                    |
      | is moved by an order     |
      | is in upkeep             |
      | shuts down after a drain |
      | is cut off               |

  # Guards against crashes that are not counted, or counted twice.
  Scenario Outline: A worker that <event> has crashed
    Given a simulated pool of 1 workers
    And a simulated job "culprit" of 2 tasks of 1 core that last 9 seconds
    When 0.2 simulated seconds pass
    And the simulated worker <event>
    And the simulated worker <event>
    Then 2 crashes of job "culprit" are counted
    And the pool has 2 suspects

    Examples: events
      | event                           |
      | is gone from the list           |
      | has another one at its address  |
      | lists a new incarnation         |
      | answers a stop as another       |

  # Guards against a suspicion that holds back a task without a cause.
  Scenario: A start that was not sent is no crash
    Given a simulated pool of 1 workers
    And a simulated job "culprit" of 2 tasks of 1 core that last 9 seconds
    When the pool is planned and its starts are rejected
    Then 0 crashes of job "culprit" are counted
    And the pool has 0 suspects

  # Guards against a count that a take-over forgets.
  Scenario Outline: The pool is taken over <when> each start of the culprit
    Given a simulated pool of 6 workers
    And a simulated job "culprit" that has begun, with 2 more tasks of 1 core
    And 4 simulated jobs of 4 tasks of 1 core that last 0.5 seconds
    And task 1 of job "culprit" crashes its worker at once
    And the pool is taken over <when> each start of the culprit
    When 60 simulated seconds pass
    Then task 1 of job "culprit" was started 5 times at most
    And job "culprit" is stored as failed
    And every other job is stored as completed

    Examples: moments
      | when                      |
      | at once after             |
      | when the crash is stored  |

  # Guards against a job that is given up without a crash, as holders ended
  # before they sent the attempts that they had stored.
  Scenario Outline: The pool is taken over before each attempt of <job> is sent
    Given a simulated pool of 6 workers
    And <job> that has begun
    And the answers of the store are <answers>
    And the pool is taken over before each attempt is sent
    When 60 simulated seconds pass
    Then the pool was taken over 12 times
    And job "culprit" is stored as completed

    Examples: jobs
      | job                             | answers             |
      | a simulated job of single tasks | ok                  |
      | a simulated job of single tasks | lost,ok,lost,refused,lost |
      | a simulated gang                | ok                  |

  # Guards against a crash that counts as none, as the attempt before it is taken
  # for one that was never sent, and against the opposite.
  Scenario Outline: A holder finds an attempt whose worker <fate>
    Given a simulated pool of 1 workers
    And a simulated job "culprit" of 2 tasks of 1 core that last 9 seconds
    When an attempt of its first task is stored and its holder ends
    And the worker of its attempt <fate>
    And the pool is recovered by another holder
    Then <count> attempts of job "culprit" may have crashed a worker

    Examples: fates
      | fate                               | count |
      | still runs                         | 0     |
      | has restarted under its name       | 1     |
      | is gone                            | 1     |
      | has not answered the new holder    | 1     |
      | is not named by an earlier release | 1     |

  # Guards against a job that is given up as the worker of its attempts was cut
  # off from the holders that took the pool over.
  Scenario Outline: The worker of all attempts <fate> after the last take-over
    Given a simulated pool of 1 workers
    And a simulated job "culprit" of 2 tasks of 1 core that last 0.5 seconds
    When 4 holders end after they stored an attempt, unheard by its worker
    And the worker of its attempt <fate>
    And 30 simulated seconds pass
    Then job "culprit" is stored as <state>

    Examples: fates
      | fate                         | state     |
      | answers                      | completed |
      | has restarted under its name | failed    |

  # Guards against an attempt that is judged by a worker on which it did not
  # start.
  Scenario: The worker of a stored attempt has no room any more
    Given a simulated pool of 2 workers
    And a simulated job "culprit" of 1 tasks of 1 core that last 9 seconds
    When an attempt of its first task is stored
    And the worker that it names accepts no tasks
    And the pool is planned until the task starts
    Then its run started on the worker that the stored attempt names

  # Guards against a start that waits again and again for its attempt to be
  # stored, as another worker became the better choice meanwhile.
  Scenario Outline: <job> starts where its attempts were stored
    Given a simulated pool of 6 workers
    And <job> that has begun
    And another holder has taken the pool over
    When attempts of its <count> tasks are stored
    And the load of <which> workers grows
    Then the tasks start at once where their attempts were stored

    Examples: jobs
      | job                                  | count | which     |
      | a simulated job of single tasks      | 2     | the other |
      | a simulated job of tasks on one rack | 3     | these     |
      | a simulated gang                     | 1     | these     |

  # Guards against progress that exceeds a row for the workers of attempts.
  Scenario: The workers of attempts are left out of progress that is too large
    When the progress of a job with 200 attempts is stored in 4000 bytes
    Then its attempts are stored without their workers
    And its checkpoints are stored

  # Guards against a start whose attempt a later holder does not know.
  Scenario Outline: Attempts are stored before their start: <answers>
    Given a simulated pool of 6 workers
    And a simulated job "culprit" of 2 tasks of 1 core that last 0.5 seconds
    And task 1 of job "culprit" crashes its worker at once
    And the answers of the store are <answers>
    When 30 simulated seconds pass
    Then every start of a suspect was stored before
    And task 1 of job "culprit" was started 3 times at most
    And job "culprit" is stored as failed

    Examples: answers
      | answers             |
      | ok                  |
      | lost,lost,lost      |
      | ok,lost,ok,lost     |
      | refused,ok,refused  |
      | late,late           |

  # Guards against a start by a holder that was deposed meanwhile.
  Scenario: A deposed holder starts no suspect
    Given a simulated pool of 6 workers
    And a simulated job "culprit" of 2 tasks of 1 core that last 0.5 seconds
    And task 1 of job "culprit" crashes its worker at once
    When the culprit has crashed its first worker
    And another holder has taken the pool over, unknown to the present one
    And 5 simulated seconds pass
    Then task 1 of job "culprit" was started 1 times at most

  # Guards against rows of earlier releases that can't be read.
  Scenario: Progress and ends of earlier releases are read
    When progress and an end are read as earlier releases stored them
    Then they have no crashes, no attempts and the code 0

  # Guards against a team that does not learn why its job failed.
  Scenario: The state of a job that was given up has a code
    Given a simulated pool of 6 workers
    And a simulated job "culprit" of 2 tasks of 1 core that last 0.5 seconds
    And task 1 of job "culprit" crashes its worker at once
    When 30 simulated seconds pass
    Then the answer about job "culprit" has the code CRASHES_WORKERS
    And its body holds the state alone

  # Guards against all of these at once, at any moment.
  Scenario Outline: Random pools, crashes and take-overs from seed <seed>
    When 40 random pools with a culprit are played from seed <seed>
    Then no culprit was started more than 5 times
    And no other job failed without two crashes, the last of them alone
    And every job ended

    Examples: seeds
      | seed |
      | 1    |
      | 1001 |
      | 2001 |

  # Guards against a task that crashed its workers again and again, as the proof
  # against another one beside it cleared it, too.
  Scenario Outline: <count> tasks that crash their workers begin together on <workers>
    Given a simulated pool of <workers> workers
    And <count> simulated culprits that begin together and crash after <delay> s
    When 90 simulated seconds pass
    Then each culprit was started 5 times at most and stored as failed

    Examples:
      | count | workers | delay |
      | 8     | 1       | 0.01  |
      | 12    | 2       | 0.01  |
      | 12    | 6       | 0.01  |

  # Guards against a task that crashed its workers again and again, some time
  # after its start, beside long-running tasks.
  Scenario Outline: A task crashes its worker <delay> s after its start, not alone
    Given a simulated pool of 3 workers
    And a simulated job "lasting" of 9 long-running tasks, 3 per worker
    And 1 simulated culprits that begin together and crash after <delay> s
    When 60 simulated seconds pass
    Then each culprit was started 5 times at most and stored as failed

    Examples:
      | delay |
      | 0.35  |
      | 1.0   |
      | 2.0   |
