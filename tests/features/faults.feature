Feature: What a caller is told holds while things fail
  Bookings are held at a step of their way through real processes, then a fault comes
  and the callers send them again through other nodes.  None may run twice, none
  that was told "not run" may have run, no answer may be partial or another's, and
  each sending has its answer by its deadline.  The whole matrix is `make matrix`.

  Scenario Outline: <fault> at the step <step>
    When the fault "<fault>" comes to the step "<step>"
    Then every promise holds

    Examples: Kills
      | step    | fault       |
      | entry   | kill-node   |
      | primary | kill-vm     |
      | backup  | kill-node   |
      | run-1   | kill-server |
      | run-2   | kill-node   |

    Examples: Cuts, silence and freezes
      | step   | fault             |
      | entry  | cut-both          |
      | link   | cut-both-reset    |
      | far-1  | silent-peers      |
      | minter | silent-peers      |
      | minter | freeze-node-short |

    Examples: The log and bad answers
      | step     | fault      |
      | primary  | log-down   |
      | run-0    | wrong-call |
      | run-1    | truncated  |
      | run-0    | garbled    |
      | answer-0 | repeats    |
