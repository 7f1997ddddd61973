Feature: The placement policy is asked about all workers that may be needed

  # Guards against a job that never starts in a large pool, as the placement
  # policy was only ever asked about the first workers.
  Scenario: The placement policy allows the last of 40 workers
    Given a pool with 40 workers
    And its queue has a placement policy that allows worker "w40" only
    And a job of 1 tasks of 1 core
    When the pool is planned and the policy answers, 3 times
    Then the task runs on worker "w40"
    And the policy was asked 2 times

  Scenario: The only worker that the placement policy allowed so far is full
    Given a pool with 40 workers
    And its queue has a placement policy that allows workers "w1" and "w40"
    And long-running tasks fill worker "w1"
    And a job of 1 tasks of 1 core
    When the pool is planned and the policy answers, 3 times
    Then a task runs on worker "w40"
    And the policy was asked 2 times

  # Guards against a job that never ends, as the rest of its tasks is ordered
  # without tickets once operators have removed its queue.
  Scenario Outline: Operators remove the queue of an accepted job, <holder>
    Given a pool with 4 workers
    And its queue has a placement policy that allows worker "w3" only
    And a job of that queue is accepted
    When operators remove the queue
    And <holder> reads the job
    And the pool is planned and the policy answers, 3 times
    Then the task runs on worker "w3"
    And the policy was asked 1 times

    Examples: holders
      | holder        |
      | its holder    |
      | a new process |

  # Guards against jobs that come before all others once operators have removed
  # their queue.
  Scenario: The jobs of a removed queue keep its priority and objective
    Given a pool with 4 workers
    And its queue has priority 4, stretch 2.5 and a target of 7 s
    And a job of that queue is accepted
    When operators remove the queue
    And its holder reads the job
    Then the queue of the job has priority 4, stretch 2.5 and a target of 7 s
