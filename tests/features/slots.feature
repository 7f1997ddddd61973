Feature: Slots and connections are shared among entry VMs
  The sum of what the entry VMs of a data centre may use of a server stays
  within its slots: while VMs join, leave and go, in any order, and while
  slots are lent.

  Scenario Outline: <members> entry VMs divide <slots> slots
    When <members> entry VMs divide <slots> slots, each in its turn
    Then each holds "<held>"

    Examples:
      | members | slots | held          |
      | 1       | 8     | 8             |
      | 2       | 8     | 4,4           |
      | 3       | 8     | 3,3,2         |
      | 9       | 8     | 1,1,1,1,1,1,1,1,0 |

  Scenario Outline: Entry VMs come, go and claim in 400 random steps, seed <seed>
    When entry VMs come, go and claim at random with seed <seed>
    Then never were more than 8 slots usable at once

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |
      | 4    |
      | 5    |

  Scenario Outline: A loan at <seconds> seconds
    When a VM with 4 idle slots lends 3 at time 0 to one that holds 4
    Then at <seconds> seconds the lender may use <lender> and the borrower <borrower>

    Examples: the lender counts a loan for longer, by the longest request
      | seconds | lender | borrower |
      | 0.0     | 1      | 7        |
      | 4.9     | 1      | 7        |
      | 5.1     | 1      | 4        |
      | 15.0    | 1      | 4        |
      | 15.3    | 4      | 4        |
