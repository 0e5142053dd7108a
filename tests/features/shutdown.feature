Feature: A graceful shutdown interrupts no request
  Nodes, servers and clients are real processes or threads. The runs are read from
  the servers' journal, the answers from the clients' records.

  Scenario: Every node is restarted under load
    Given a running deployment
    And version 1 is published
    When clients send 30 requests a second for 24 seconds
    And every node is terminated and restarted, one after another
    Then every terminated node has exited with 0
    And no attempt was interrupted
    And every request was answered completely
    And nothing ran twice

  Scenario: A draining server receives no new work after two seconds
    Given a running deployment
    And version 1 is published
    When clients send 40 requests a second for 8 seconds
    And one jobdesk server announces that it drains
    Then no run starts on it later than 2 seconds after that
    And every request was answered completely
