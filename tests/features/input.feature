@processes
Feature: Invalid input is refused with a code and the name of the field
  The process keeps running, and no secret is written to a log.

  Scenario: Invalid requests, one after another
    Given one entry process with its stand-ins
    Then each of these requests is refused with its code
      | what                       | method | path                    | headers                        | body                                     | code | names           |
      | unknown path               | GET    | /nothing                |                                |                                          | 207  | path            |
      | unknown service            | GET    | /v1/services/nothing/x  | key                            |                                          | 205  | nothing         |
      | no key                     | GET    | /v1/services/tally/x    | Agaterudder-Team=tally         |                                          | 300  | Agaterudder-Key |
      | wrong key                  | GET    | /v1/services/tally/x    | Agaterudder-Team=tally;Agaterudder-Key=a.b |                              | 301  | Agaterudder-Key |
      | no team                    | GET    | /v1/services/tally/x    | Agaterudder-Key=a.b            |                                          | 200  | Agaterudder-Team |
      | bad priority               | GET    | /v1/services/tally/x    | key;Agaterudder-Priority=loud  |                                          | 200  | Priority        |
      | bad time-out               | GET    | /v1/services/tally/x    | key;Agaterudder-Timeout=nan    |                                          | 200  | Timeout         |
      | bad request id             | GET    | /v1/services/tally/x    | key;Agaterudder-Request-Id=a b |                                          | 200  | Request-Id      |
      | body too large             | POST   | /v1/services/tally/x    | key                            | large                                    | 201  | bytes           |
      | not JSON                   | POST   | /v1/tasks               | key                            | {                                        | 200  | JSON            |
      | unknown field              | POST   | /v1/tasks               | key                            | {"queue":"count","cores":1,"colour":2}   | 203  | colour          |
      | wrong type                 | POST   | /v1/tasks               | key                            | {"queue":"count","cores":"many"}         | 204  | cores           |
      | negative size              | POST   | /v1/tasks               | key                            | {"queue":"count","cores":-1}             | 204  | cores           |
      | unknown queue              | POST   | /v1/tasks               | key                            | {"queue":"nothing","cores":1}            | 206  | queue           |
      | larger than every worker   | POST   | /v1/tasks               | key                            | {"queue":"count","cores":17}             | 208  | size            |
      | unknown task               | GET    | /v1/tasks/north.b.1     | key                            |                                          | 207  | task            |
      | no operator key            | GET    | /v1/operator/status     |                                |                                          | 302  | Operator-Key    |
    And each of these heads is refused with status 400 and not run
      | head                                                                          |
      | POST /v1/tasks HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\n{} |
      | POST /v1/tasks HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n |
      | POST /v1/tasks HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked, gzip\r\n\r\n0\r\n\r\n |
      | GET /v1/tasks HTTP/9.9\r\n\r\n                                                |
      | POST /v1/tasks HTTP/1.1\r\nHost: a\r\nContent-Length: -2\r\n\r\n              |
    And the entry process still answers completely
    And its log contains neither key nor secret
    And the stream port closes a connection that sends malformed bytes

  Scenario: The command line against a running entry process
    Given one entry process with its stand-ins
    Then each of these commands exits with its status and prints its text
      | command                                   | status | says           |
      | status                                    | 0      | data_centre    |
      | status --output json                      | 0      | "members"      |
      | check {assurances}                        | 0      | no fault       |
      | plan {assurances}                         | 0      | differences    |
      | apply {assurances} --base 99              | 1      | CONFLICT       |
      | apply {faulty}                            | 1      | line 1         |
      | grant tally                               | 0      | accepted       |
      | grant nobody                              | 1      | UNKNOWN_TEAM   |
      | withdraw 0000000000000000                 | 1      | NOT_FOUND      |
      | take-out nowhere                          | 1      | NOT_FOUND      |
      | history                                   | 0      | grant key      |
      | move nothing report                       | 1      | NOT_FOUND      |
      | explain team tally                        | 0      |                |
      | log-level debug                           | 0      | debug          |
      | roll-out nothing                          | 1      | NOT_FOUND      |
      | wave 0000000000000000 --watch             | 1      | NOT_FOUND      |
      | status --key-file /nonexistent            | 2      | No such file   |
      | serve --settings /nonexistent             | 2      | No such file   |
