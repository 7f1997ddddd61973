Feature: Slots and connections are shared among entry VMs
  The entry VMs of a data centre together never use more slots of a server
  than it has, while VMs join, leave and disappear in any order, and while
  slots are lent.

  Scenario Outline: <members> entry VMs divide <slots> slots
    When <members> entry VMs divide <slots> slots one after another
    Then each holds "<held>"

    Examples:
      | members | slots | held          |
      | 1       | 8     | 8             |
      | 2       | 8     | 4,4           |
      | 3       | 8     | 3,3,2         |
      | 9       | 8     | 1,1,1,1,1,1,1,1,0 |

  Scenario Outline: Entry VMs join, leave and claim in 400 random steps, seed <seed>
    When entry VMs join, leave and claim at random with seed <seed>
    Then at most 8 slots were usable at any time

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

    Examples: for the lender, a loan lasts longer by the longest request
      | seconds | lender | borrower |
      | 0.0     | 1      | 7        |
      | 4.9     | 1      | 7        |
      | 5.1     | 1      | 4        |
      | 15.0    | 1      | 4        |
      | 15.3    | 4      | 4        |
