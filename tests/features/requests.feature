Feature: Answers, refusals and repeats under faults of a backend server
  A caller gets the complete answer to its own request. A request that is
  refused as "not run" has not been executed, and a request that may not be
  repeated runs at most once.

  Scenario Outline: One backend server is <fault>, request <repeatable>
    Given two backend servers, of which the first is "<fault>"
    When <count> requests that <repeatable> be repeated are sent
    Then every answer is complete and belongs to its request
    And no request that is refused as not run was executed
    And at most <runs> executions are counted for a request
    And the outcomes are only "<outcomes>"

    Examples: faults of a backend server
      | fault     | repeatable | count | runs | outcomes                              |
      | none      | may        | 20    | 1    | OK                                    |
      | none      | may not    | 20    | 1    | OK                                    |
      | killed    | may        | 20    | 2    | OK                                    |
      | killed    | may not    | 20    | 1    | OK,OUTCOME_UNKNOWN                    |
      | short     | may        | 20    | 2    | OK                                    |
      | short     | may not    | 20    | 1    | OK,OUTCOME_UNKNOWN,SHORT_ANSWER       |
      | late      | may        | 6     | 2    | OK                                    |
      | late      | may not    | 6     | 1    | OK,TIMED_OUT                          |
      | failing   | may        | 20    | 2    | OK                                    |
      | failing   | may not    | 20    | 1    | OK,HTTP 500                           |
      | leaving   | may        | 20    | 1    | OK                                    |
      | leaving   | may not    | 20    | 1    | OK                                    |
      | away      | may        | 20    | 1    | OK                                    |
      | away      | may not    | 20    | 1    | OK                                    |

  Scenario Outline: Open connections go silent, request <repeatable> be repeated
    Given two backend servers, of which the first is "none"
    And 20 requests that may be repeated were answered
    When the connections go silent while new ones work
    And the connections are idle for 0.6 seconds
    And 6 requests that <repeatable> be repeated are sent
    Then every answer is complete and belongs to its request
    And at most <runs> executions are counted for a request
    And the outcomes are only "OK"

    Examples:
      | repeatable | runs |
      | may        | 2    |
      | may not    | 1    |

  Scenario Outline: The first server is <fault> and the other can't be reached
    Given two backend servers, of which the first is "<fault>" and the other is away
    When 12 requests that <repeatable> be repeated are sent
    Then no request that is refused as not run was executed
    And the outcomes are only "<outcomes>"

    Examples: a retry without a server does not hide a first attempt that may have run
      | fault  | repeatable | outcomes                               |
      | killed | may        | OUTCOME_UNKNOWN,NO_SERVER              |
      | killed | may not    | OUTCOME_UNKNOWN,NO_SERVER              |
      | short  | may        | OUTCOME_UNKNOWN,SHORT_ANSWER,NO_SERVER |

  Scenario: A late answer never reaches another caller
    Given two backend servers, of which the first is "late"
    When 6 requests that may not be repeated are sent
    And the backend servers are healthy again
    And 20 requests that may be repeated are sent
    Then every answer is complete and belongs to its request

  Scenario: The limits of slots and connections are never exceeded
    Given two backend servers, of which the first is "none"
    When 100 requests that may be repeated are sent at once
    Then no backend server had more than 8 requests or 64 connections at once
    And the outcomes are only "OK,QUEUE_FULL,TOO_LATE,SHED"

  Scenario: A backend server that fails every request is ejected
    Given two backend servers, of which the first is "failing"
    When 40 requests that may be repeated are sent
    Then the first backend server got at most 12 of them

  Scenario Outline: A backend server that is leaving, known by <how>
    Given two backend servers, of which the first is "none"
    When 10 requests that may not be repeated are sent
    And the first backend server is reported as leaving by <how>
    And 40 requests that may not be repeated are sent
    Then the first backend server got at most <asked> further requests
    And the outcomes are only "OK"

    Examples: its own answer or the list is enough to exclude it
      | how        | asked |
      | its answer | 1     |
      | the list   | 0     |
