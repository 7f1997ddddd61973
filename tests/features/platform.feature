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

  Scenario: Random bytes cause no unexpected exception
    Then 2000 random bodies with seed 5 are decoded or refused

  Scenario: Unknown settings are ignored, missing ones are named
    Given the example settings of the platform's documentation
    Then they can be read
    When an unknown field is added
    Then they can be read
    When the field "zone" is removed
    Then they are refused with an error that names "zone"
