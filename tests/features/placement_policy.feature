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
