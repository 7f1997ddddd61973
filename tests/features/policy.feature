Feature: Scheduling and admission under load
  Shares hold when every slot is in use, quick work is served first, long work
  is not starved, and requests that can't be answered in time are refused
  early.

  Scenario Outline: Full queue, teams <teams>
    Given a queue with 60 places and shares "<shares>"
    When for 40 seconds teams send "<rates>" requests a second to 8 slots of 0.1 s
    Then each team gets within 5 % of "<served>" answers a second

    Examples: weighted shares under overload; a team may use what others leave
      | teams          | shares    | rates      | served     |
      | equal          | a=1,b=1   | a=200,b=200 | a=40,b=40 |
      | one to three   | a=1,b=3   | a=200,b=200 | a=20,b=60 |
      | one asks less  | a=1,b=1   | a=10,b=200  | a=10,b=70 |
      | three teams    | a=2,b=1,c=1 | a=300,b=300,c=300 | a=40,b=20,c=20 |

  Scenario: Quick work is served first and long work is not starved
    Given a queue with 60 places and shares "a=1"
    When long, normal and quick requests each come at 60 a second for 40 seconds
    Then quick requests wait at most 0.3 seconds at the median
    And long requests are also answered

  Scenario Outline: A request with <seconds> s left and <ahead> others ahead
    Given a queue with 60 places and shares "a=1"
    When <ahead> requests of the same team wait for 8 slots of 0.1 s
    And a request comes with <seconds> seconds left
    Then it is "<answer>"

    Examples: early refusal
      | ahead | seconds | answer     |
      | 0     | 0.05    | TOO_LATE   |
      | 0     | 0.15    | queued     |
      | 40    | 0.5     | TOO_LATE   |
      | 40    | 0.7     | queued     |
      | 60    | 9.0     | QUEUE_FULL |

  Scenario Outline: Max-min over demands <demands>
    When 100 cores are divided over demands "<demands>" with weights "<weights>" and limits "<limits>"
    Then the teams get "<given>"

    Examples: weighted max-min
      | demands         | weights     | limits | given          |
      | a=100,b=100     | a=1,b=1     |        | a=50,b=50      |
      | a=20,b=100      | a=1,b=1     |        | a=20,b=80      |
      | a=100,b=100     | a=3,b=1     |        | a=75,b=25      |
      | a=100,b=100     | a=1,b=1     | a=10   | a=10,b=90      |
      | a=10,b=10       | a=1,b=1     |        | a=10,b=10      |
      | a=90,b=90,c=10  | a=1,b=1,c=1 |        | a=45,b=45,c=10 |

  Scenario Outline: A team with <own> of 90 cores, others <other>, waiting elsewhere <elsewhere>
    When team "a" uses <own> and team "b" uses <other> of 90 cores
    And "b" waits elsewhere: <elsewhere>
    Then after <waited> seconds a start of "a" is <answer>

    Examples: a team above its share defers to one below its share, for a limited time
      | own | other | elsewhere | waited | answer   |
      | 60  | 30    | yes       | 0.0    | deferred |
      | 60  | 30    | yes       | 1.1    | next     |
      | 60  | 30    | no        | 0.0    | next     |
      | 30  | 60    | yes       | 0.0    | next     |
      | 40  | 10    | yes       | 0.0    | next     |

  Scenario Outline: Declared <declared> cores, used <used>
    When 10 tasks of a kind declared <declared> cores and used <used>
    Then the next is given <low> to <high> cores

    Examples: sizes follow the usage; an increase takes effect immediately
      | declared | used | low | high |
      | 4        | 2    | 2.1 | 2.9  |
      | 4        | 8    | 8.8 | 8.8  |
      | 4        | 400  | 35  | 36   |

  Scenario Outline: <failing> of <servers> servers fail
    When <failing> of <servers> servers fail all of 200 requests
    Then <ejected> servers are ejected

    Examples: a server is compared with its peers, and the ejected fraction is capped
      | failing | servers | ejected |
      | 0       | 6       | 0       |
      | 1       | 6       | 1       |
      | 2       | 6       | 2       |
      | 6       | 6       | 0       |
      | 1       | 1       | 0       |
