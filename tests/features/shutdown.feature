Feature: A graceful shutdown cuts off nothing
  Nodes, servers and callers are real processes or threads; what ran is read
  from the servers' journal, what was told from the callers' records.

  Scenario: Every node is restarted under load
    Given a running deployment
    And version 1 is published
    When callers send 30 requests a second for 24 seconds
    And every node is terminated and started again, one after the other
    Then every terminated node has exited with 0
    And no sending was cut off
    And every request was answered completely
    And nothing ran twice

  Scenario: A server that drains gets no new work after two seconds
    Given a running deployment
    And version 1 is published
    When callers send 40 requests a second for 8 seconds
    And one jobdesk server announces that it drains
    Then nothing begins on it later than 2 seconds after that
    And every request was answered completely
