Feature: Messages of the platform are decoded once, invalid ones are ignored
  The examples are those of the platform's documentation.

  Scenario: A job with two steps
    When a client sends
      """
      {"spec":"(text)","steps":[{"count":4,"cpu":500,"mem_mb":256,
      "estimate_ms":900,"affinity":"r1-3"},{"count":20,"cpu":2000,
      "mem_mb":1024,"estimate_ms":7000,"after":[0],"checkpointing":true}]}
      """
    Then step 0 has 4 tasks of 0.5 cores near "r1-3"
    And step 1 has 20 tasks of 2 cores after step 0

  Scenario Outline: A body that is not a job: <body>
    When a client sends the body "<body>"
    Then it is refused as malformed

    Examples:
      | body                                    |
      |                                         |
      | []                                      |
      | {"steps":[]}                            |
      | {"spec":"","steps":[]}                  |
      | {"spec":1,"steps":[{}]}                 |
      | {"spec":"","steps":[{"count":0}]}       |
      | {"spec":"","steps":[{"count":"4"}]}     |
      | {"spec":"","steps":[{"after":[0]}]}     |
      | {"spec":"","steps":[{"after":[-1]},{}]} |
      | {"spec":"","steps":[{"cpu":-5}]}        |

  Scenario Outline: A registration of a worker that is <what>
    When the store has the registration
      """
      <registration>
      """
    Then it is decoded as <worker>

    Examples:
      | what         | registration | worker |
      | sound        | {"service":"p","address":"10.128.0.9:8080","zone":"z","state":"ready","capacity":{"cpu":16000,"mem_mb":32768,"gpu":0},"labels":["a","r1-3"],"born":5} | a worker in rack "r1-3" |
      | draining     | {"service":"p","address":"10.128.0.9:8080","zone":"z","state":"draining","capacity":{"cpu":1,"mem_mb":1},"labels":[]} | a worker in rack "" |
      | without room | {"service":"p","address":"10.128.0.9:8080","zone":"z","state":"ready"} | no worker |
      | of a new state | {"service":"p","address":"10.128.0.9:8080","zone":"z","state":"odd","capacity":{}} | no worker |
      | of other types | {"service":7,"address":"10.128.0.9:8080","zone":"z","state":"ready","capacity":{}} | no worker |
      | without a port | {"service":"p","address":"10.128.0.9","zone":"z","state":"ready","capacity":{}} | no worker |
      | not readable | \xff\xfe | no worker |

  Scenario: A worker's response to a lease renewal
    When a worker answers a lease renewal with
      """
      {"clock_ms":482113,"running":[["a.0.1.17",2,"00000bb8",41]],
      "finished":[[58,"a.0.1.9",1,"done",""]],"born":7}
      """
    Then its clock shows 482.113 seconds in incarnation 7
    And it lists task "a.0.1.17" run 2 at 41 per cent
    And end event 58 is "done"

  # Guards against a reading that ends the greenlet which renews the lease of
  # a worker, so that all that runs there lapses.
  Scenario: A reading that is no number leaves the rest of a listing usable
    Then readings in a worker's listing are taken as
      | reading | taken as |
      | 12      | 12.0     |
      | 0.5     | 0.5      |
      | "slow"  | none     |
      | "12"    | none     |
      | null    | none     |
      | true    | none     |
      | [1]     | none     |
      | {}      | none     |

  # Guards against a run that counts as ended, or an end that is acknowledged
  # unread, since one row of a listing can't be read.
  Scenario: A listing with a row that can't be read says nothing
    Then listings with these rows are not read at all
      | list     | row                          |
      | running  | []                           |
      | running  | ["a.0.0.0",1]                |
      | running  | ["a.0.0.0","1","",9]         |
      | running  | ["a.0.0.0",1,null,9]         |
      | running  | ["a.0.0.0",1,"","9"]         |
      | running  | "a.0.0.0"                    |
      | finished | [1,"a.0.0.0",1,"done"]       |
      | finished | ["1","a.0.0.0",1,"done",""]  |
      | finished | [1,"a.0.0.0",1,null,""]      |

  # Guards against a first page of ends that is taken as all of them.
  Scenario: A worker lists 500 ends at a time
    Then listings tell whether more ends follow
      | ends | more follow |
      | 0    | no          |
      | 499  | no          |
      | 500  | yes         |

  Scenario: Rejections and unusable responses of a worker
    Then a worker's responses are interpreted as
      | status | body                  | meaning          |
      | 200    | {"clock_ms":1}        | Done             |
      | 409    | {"reason":"fence"}    | Rejected fenced  |
      | 409    | {"reason":"old"}      | Rejected old run |
      | 409    | {"reason":"late"}     | Rejected late    |
      | 409    | {"reason":"room"}     | Rejected no room |
      | 409    | {"reason":"ticket"}   | Rejected no ticket |
      | 409    | {"reason":"unheard"}  | NoAnswer         |
      | 409    | no json               | NoAnswer         |
      | 421    |                       | Rejected other life |
      | 429    |                       | Rejected busy    |
      | 503    |                       | Rejected busy    |
      | 400    |                       | Rejected invalid |
      | 500    |                       | NoAnswer         |

  # Guards against a 5xx status that is reported as "nothing was written",
  # although the store may have executed the transaction.
  Scenario: Responses of the store to a transaction
    Then a transaction's responses are interpreted as
      | status | body                  | meaning        | log event           |
      | 200    | {"ver":5,"now_ms":1}  | Committed      | none                |
      | 200    | no json               | CHANGE_UNKNOWN | none                |
      | 412    | {"ver":5,"now_ms":1}  | Conflicted     | none                |
      | 403    |                       | STORE_AWAY     | store rejected a transaction |
      | 429    |                       | STORE_AWAY     | none                |
      | 503    |                       | STORE_AWAY     | none                |
      | 400    |                       | CHANGE_UNKNOWN | store answered a transaction with an unexpected status |
      | 413    |                       | CHANGE_UNKNOWN | store answered a transaction with an unexpected status |
      | 500    |                       | CHANGE_UNKNOWN | store answered a transaction with an unexpected status |
      | 502    |                       | CHANGE_UNKNOWN | store answered a transaction with an unexpected status |
      | 504    |                       | CHANGE_UNKNOWN | store answered a transaction with an unexpected status |

  # Guards against an order that is repeated or given up for undone although
  # a machine, a worker or the policy service may have carried it out.
  Scenario: Statuses that the pages don't name, by the client of the platform
    Then other statuses leave an order's outcome as
      | client   | status | meaning                        |
      | worker   | 404    | NoAnswer, may take effect      |
      | worker   | 500    | NoAnswer, may take effect      |
      | worker   | 502    | NoAnswer, may take effect      |
      | machines | 404    | NoAnswer, may take effect      |
      | machines | 500    | NoAnswer, may take effect      |
      | machines | 503    | NoAnswer, may take effect      |
      | machines | 429    | Rejected                       |
      | policy   | 500    | NoAnswer, can't take effect    |
      | policy   | 429    | NoAnswer, can't take effect    |

  Scenario: Random bytes cause no unexpected exception
    Then 2000 random bodies with seed 5 are decoded or refused

  Scenario: Unknown settings are ignored, missing ones are named
    Given the example settings of the platform's documentation
    Then they can be read
    When an unknown field is added
    Then they can be read
    When the field "zone" is removed
    Then they are refused with an error that names "zone"

  Scenario: The processor capacity of the VM is read from its settings
    Given the example settings of the platform's documentation
    When its processor is 0.5 of a core that is 3 times as fast
    Then the VM has 1.5 cores
    When its processor is 0 of a core that is 3 times as fast
    Then they are refused with an error that names "cpu_share"

  # Guards against a task that waited 12.5 s for a start that was never sent.
  Scenario: A request to a worker that ended meanwhile was certainly not sent
    Given a client with an idle connection to a server that has ended
    When the client sends a request
    Then the request failed and can't take effect

  # Guards against a worker loop that ended by an address that is no address.
  Scenario: A request to an address without a port number was not sent
    Given a client of the address "10.128.0.9:http"
    When the client sends a request
    Then the request failed and can't take effect

  # Guards against a request that was read and cut, as it came while a stopping
  # process wrote its last log lines.
  Scenario Outline: A process that stops reads a request <when>
    Given a process whose clients send a request <when>
    When the process shuts down
    Then the answer to the request was written before it ended

    Examples:
      | when                             |
      | during the drain                 |
      | while the last lines are written |

  # Guards against a holder that never recovers its pool, as a page of its
  # stored jobs takes longer over a slow link than a reading may.
  Scenario Outline: A table of 1200 rows over a link that carries <rows> in time
    Given a store with 1200 rows over a link that carries <rows> rows in time
    When the table is read
    Then <outcome>

    Examples:
      | rows | outcome                                      |
      | 500  | all rows were read with 0 failed readings    |
      | 200  | all rows were read with 1 failed readings    |
      | 31   | all rows were read with 2 failed readings    |
      | 10   | the reading failed after 4 failed readings   |
