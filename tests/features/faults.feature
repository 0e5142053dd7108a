Feature: Answers to clients stay correct during faults
  Bookings are held at a step of their path through real processes. Then a fault is
  injected and the clients retry through other nodes. No booking may run twice, none
  that was answered with "not run" may have run, no answer may be partial or belong to
  another request, and each attempt must be answered by its deadline. `make matrix` runs
  the whole matrix.

  Scenario Outline: <fault> at the step <step>
    When the fault "<fault>" is injected at the step "<step>"
    Then every promise holds

    Examples: Kills
      | step    | fault       |
      | entry   | kill-node   |
      | primary | kill-vm     |
      | backup  | kill-node   |
      | run-1   | kill-server |
      | run-2   | kill-node   |

    Examples: Partitions, silence and freezes
      | step   | fault             |
      | entry  | cut-both          |
      | link   | cut-both-reset    |
      | far-1  | silent-peers      |
      | minter | silent-peers      |
      | minter | freeze-node-short |

    Examples: The log and invalid answers
      | step     | fault      |
      | primary  | log-down   |
      | run-0    | wrong-call |
      | run-1    | truncated  |
      | run-0    | garbled    |
      | answer-0 | repeats    |
